package yuccawire_test

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

const goldenPath = "testdata/frames.golden"

var (
	update = flag.Bool("update", false, "rewrite the golden files")
	nobody = yuccaid.NewIncarnation("vm-1", [16]byte{1})
	hello  = yuccawire.Hello{
		Version: yuccawire.Version, Purpose: yuccawire.PurposeControl, Incarnation: nobody.String(),
		Centre: "padova", Address: "10.0.0.1:7400", Challenge: make([]byte, 16),
	}
)

// raw joins a length and bytes into a frame as a stranger might send it.
func raw(length uint32, body string) []byte {
	head := []byte{byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}
	return append(head, body...)
}

func kindOf(err error) string { return strings.TrimPrefix(fmt.Sprintf("%T", err), "*yuccawire.") }

var _ = Describe("a frame", func() {
	It("has the bytes that other versions expect", func() {
		var text strings.Builder
		for _, message := range []struct {
			kind yuccawire.Kind
			body any
		}{
			{yuccawire.KindHello, hello},
			{yuccawire.KindProof, yuccawire.Proof{Digest: make([]byte, 32)}},
			{yuccawire.KindPulse, yuccapeer.Pulse{Sequence: 300, Version: 2, RequestHeartbeat: true}},
			{yuccawire.KindKeepAlive, nil},
			{yuccawire.KindBye, nil},
			{yuccawire.Kind(200), []string{"a", "b"}},
		} {
			frame, err := yuccawire.Encode(message.kind, message.body)
			Expect(err).NotTo(HaveOccurred())
			fmt.Fprintf(&text, "%s %s\n", message.kind, hex.EncodeToString(frame))
		}
		if *update {
			Expect(os.WriteFile(goldenPath, []byte(text.String()), 0o600)).To(Succeed())
		}
		Expect(os.ReadFile(goldenPath)).To(BeEquivalentTo(text.String()))
	})

	// Connections break anywhere, and what arrives may come from another program or
	// a damaged peer. A user would notice a daemon that waits for gigabytes, runs out
	// of memory or stack, or takes half a message for a whole one.
	DescribeTable("is refused by type when it is broken",
		func(input []byte, kind string) {
			_, err := yuccawire.Read(bytes.NewReader(input))
			Expect(err).To(HaveOccurred())
			Expect(kindOf(err)).To(Equal(kind), err.Error())
		},
		Entry("half a length", []byte{0, 0}, "TruncatedError"),
		Entry("half a body", raw(9, "\x92\x01"), "TruncatedError"),
		Entry("a length of gigabytes", raw(0xffffffff, ""), "OversizedError"),
		Entry("HTTP", []byte("GET / HTTP/1.1\r\n"), "OversizedError"),
		Entry("no content", raw(0, ""), "GarbledError"),
		Entry("no pair", raw(2, "\x91\x01"), "GarbledError"),
		Entry("no kind", raw(1, "\x92"), "GarbledError"),
		Entry("a kind that isn't a number", raw(3, "\x92\xa1a"), "GarbledError"),
		Entry("a kind in a longer form than it needs", raw(4, "\x92\xcc\x05\xc0"), "GarbledError"),
		Entry("no body", raw(2, "\x92\x01"), "GarbledError"),
		Entry("a body cut short", raw(4, "\x92\x01\xa2a"), "GarbledError"),
		Entry("a string of gigabytes", raw(7, "\x92\x01\xdb\xff\xff\xff\xff"), "GarbledError"),
		Entry("an array of billions", raw(7, "\x92\x01\xdd\xff\xff\xff\xff"), "GarbledError"),
		Entry("a map of billions", raw(7, "\x92\x01\xdf\xff\xff\xff\xff"), "GarbledError"),
		Entry("two bodies", raw(4, "\x92\x01\xc0\xc0"), "GarbledError"),
		Entry("the unused byte", raw(3, "\x92\x01\xc1"), "GarbledError"),
		Entry("a length cut short", raw(4, "\x92\x01\xdb\x00"), "GarbledError"),
		Entry("a million opened arrays", raw(1<<20, "\x92\x01"+strings.Repeat("\x91", 1<<20-2)), "GarbledError"),
	)

	It("tells the end between two frames from the end inside one", func() {
		_, err := yuccawire.Read(bytes.NewReader(nil))
		Expect(err).To(BeIdenticalTo(io.EOF))
	})

	It("is refused before it is sent when it is too long", func() {
		for over, want := range map[int]string{0: "<nil>", 1: "OversizedError"} {
			// The kind takes two bytes and the binary's own head five.
			_, err := yuccawire.Encode(yuccawire.KindRoster, make([]byte, yuccawire.MaxFrame-7+over))
			Expect(kindOf(err)).To(Equal(want))
		}
	})

	It("gives a typed error for a body of another type", func() {
		frame, err := yuccawire.Encode(yuccawire.KindPulse, "no pulse")
		Expect(err).NotTo(HaveOccurred())
		read, err := yuccawire.Read(bytes.NewReader(frame))
		Expect(err).NotTo(HaveOccurred())
		var garbled *yuccawire.GarbledError
		Expect(errors.As(read.Decode(&yuccapeer.Pulse{}), &garbled)).To(BeTrue())
	})
})

// FuzzRead compares the check of a body with the library's own walk over it, and tries
// every message on what passes.
func FuzzRead(f *testing.F) {
	for _, body := range []any{hello, yuccapeer.Heartbeat{Incarnation: nobody}, yuccapeer.Pulse{}, []any{1.5, nil, map[string]int{"a": 1}}} {
		frame, err := yuccawire.Encode(yuccawire.KindHello, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		frame, err := yuccawire.Read(bytes.NewReader(input))
		if err != nil {
			return
		}
		in := bytes.NewReader(frame.Body)
		if err := msgpack.NewDecoder(in).Skip(); err != nil || in.Len() > 0 {
			t.Fatalf("body %x passed, and the library leaves %d bytes of it: %v", frame.Body, in.Len(), err)
		}
		for _, into := range []any{&yuccawire.Hello{}, &yuccawire.Proof{}, &yuccapeer.Heartbeat{}, &yuccapeer.Pulse{}, &[]yuccapeer.Listing{}} {
			if frame.Decode(into) != nil {
				continue
			}
			if _, err := yuccawire.Encode(frame.Kind, into); err != nil {
				t.Fatalf("%T was read from %x and can't be written: %v", into, frame.Body, err)
			}
		}
	})
}

func BenchmarkEncodePulse(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := yuccawire.Encode(yuccawire.KindPulse, yuccapeer.Pulse{Sequence: 300}); err != nil {
			b.Fatal(err)
		}
	}
}
