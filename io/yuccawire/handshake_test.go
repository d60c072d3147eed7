package yuccawire_test

import (
	"bytes"
	"errors"
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

var fleetKey = yuccaid.Key("fleet key for tests")

// tap notes what an end wrote.
type tap struct {
	net.Conn
	sent bytes.Buffer
}

func (tp *tap) Write(raw []byte) (int, error) {
	tp.sent.Write(raw)
	return tp.Conn.Write(raw)
}

// shaken is what both ends made of a handshake.
type shaken struct {
	dialErr, acceptErr error
	accepted           yuccawire.Hello
	sent               []byte
}

// shake runs both ends.
func shake(dialKey, acceptKey yuccaid.Key) shaken {
	near, far := net.Pipe()
	end := make(chan error)
	go func() {
		_, err := yuccawire.HandshakeAccept(far, acceptKey, hello)
		far.Close()
		end <- err
	}()
	tapped := &tap{Conn: near}
	accepted, err := yuccawire.HandshakeDial(tapped, dialKey, hello)
	near.Close()
	return shaken{dialErr: err, acceptErr: <-end, accepted: accepted, sent: tapped.sent.Bytes()}
}

// answer plays back bytes to one end and returns its error.
func answer(bytes []byte, shake func(io.ReadWriter) error) error {
	near, far := net.Pipe()
	go io.Copy(io.Discard, far)
	go func() {
		far.Write(bytes)
		far.Close()
	}()
	return shake(near)
}

func accept(conn io.ReadWriter) error {
	_, err := yuccawire.HandshakeAccept(conn, fleetKey, hello)
	return err
}

func dial(conn io.ReadWriter) error {
	_, err := yuccawire.HandshakeDial(conn, fleetKey, hello)
	return err
}

func encoded(kind yuccawire.Kind, body any) []byte {
	frame, err := yuccawire.Encode(kind, body)
	Expect(err).NotTo(HaveOccurred())
	return frame
}

// changed is a greeting with one thing wrong.
func changed(change func(*yuccawire.Hello)) []byte {
	wrong := hello
	change(&wrong)
	return encoded(yuccawire.KindHello, wrong)
}

var _ = Describe("a handshake", func() {
	It("names the peer at both ends that hold the key", func() {
		got := shake(fleetKey, fleetKey)
		Expect(errors.Join(got.dialErr, got.acceptErr)).NotTo(HaveOccurred())
		Expect(got.accepted.Peer()).To(Equal(nobody))
	})

	// A daemon gets the key file of another fleet. Without the proof, requests of one
	// fleet would be granted, and their answers fetched, by the other.
	It("fails at both ends when the keys differ", func() {
		got := shake(yuccaid.Key("other"), fleetKey)
		Expect(kindOf(got.dialErr)).To(Equal("KeyError"))
		Expect(kindOf(got.acceptErr)).To(Equal("KeyError"))
	})

	It("doesn't begin without a key", func() {
		Expect(shake(nil, fleetKey).dialErr).To(MatchError(yuccawire.ErrNoKey))
	})

	// Somebody records a daemon's side of a handshake and sends the same bytes again,
	// or sends an end its own words back. Either would pass for a daemon.
	It("can't be played back or reflected", func() {
		Expect(kindOf(answer(shake(fleetKey, fleetKey).sent, accept))).To(Equal("KeyError"))
		near, far := net.Pipe()
		go io.Copy(far, far)
		Expect(kindOf(dial(near))).To(Equal("KeyError"))
	})

	DescribeTable("is refused by type when the greeting is wrong",
		func(greeting func() []byte, kind string) {
			Expect(kindOf(answer(greeting(), accept))).To(Equal(kind))
			Expect(kindOf(answer(greeting(), dial))).To(Equal(kind))
		},
		Entry("another version", func() []byte {
			return changed(func(wrong *yuccawire.Hello) { wrong.Version++ })
		}, "VersionError"),
		Entry("no incarnation", func() []byte {
			return changed(func(wrong *yuccawire.Hello) { wrong.Incarnation = "vm-1" })
		}, "HelloError"),
		Entry("no data centre", func() []byte {
			return changed(func(wrong *yuccawire.Hello) { wrong.Centre = "" })
		}, "HelloError"),
		Entry("a host name", func() []byte {
			return changed(func(wrong *yuccawire.Hello) { wrong.Address = "host:80" })
		}, "HelloError"),
		Entry("no purpose", func() []byte {
			return changed(func(wrong *yuccawire.Hello) { wrong.Purpose = 9 })
		}, "HelloError"),
		Entry("a short challenge", func() []byte {
			return changed(func(wrong *yuccawire.Hello) { wrong.Challenge = []byte{1} })
		}, "HelloError"),
		Entry("another kind", func() []byte { return encoded(yuccawire.KindBye, nil) }, "UnexpectedError"),
		Entry("no proof behind it", func() []byte {
			return append(encoded(yuccawire.KindHello, hello), encoded(yuccawire.KindBye, nil)...)
		}, "UnexpectedError"),
		Entry("a body of another type", func() []byte { return encoded(yuccawire.KindHello, "hello") }, "GarbledError"),
		Entry("more than a greeting", func() []byte {
			return encoded(yuccawire.KindHello, make([]byte, 2<<10))
		}, "OversizedError"),
		Entry("noise", func() []byte { return []byte("\x00\x00\x00\x05noise") }, "GarbledError"),
		Entry("an end within the greeting", func() []byte { return encoded(yuccawire.KindHello, hello)[:20] }, "TruncatedError"),
	)
})
