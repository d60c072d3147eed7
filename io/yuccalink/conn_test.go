package yuccalink_test

import (
	"context"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

var _ = Describe("traffic connections", func() {
	var (
		one, two place
		rel      *relay
		first    *yuccalink.Hub
		accepted chan *yuccalink.Conn
	)
	BeforeEach(func() {
		one, two = member("vm-1", listen()), member("vm-2", listen())
		rel = newRelay(two.Address)
		accepted = make(chan *yuccalink.Conn, 1)
		first, _ = open(one, key, yuccalink.WithLimits(quick()))
		open(two, key, yuccalink.WithLimits(quick()), yuccalink.OnTraffic(func(conn *yuccalink.Conn) { accepted <- conn }))
	})

	// dial returns both ends of a connection through the relay.
	dial := func() (near, far *yuccalink.Conn) {
		near, err := first.Dial(context.Background(), rel.address())
		Expect(err).NotTo(HaveOccurred())
		Eventually(accepted, soon).Should(Receive(&far))
		Expect(near.Peer()).To(Equal(two.Member))
		Expect(far.Peer()).To(Equal(one.Member))
		return near, far
	}

	It("outlive a long wait for the answer", func() {
		near, far := dial()
		Expect(near.Send(kindTest, "question")).To(Succeed())
		received := make(chan yuccawire.Frame, 1)
		go func() {
			frame, _ := near.Receive()
			received <- frame
		}()
		Expect(far.Receive()).To(HaveField("Kind", kindTest))
		// This is longer than the limit on silence, so only keep-alives keep the connection open.
		Eventually(func() uint64 {
			return count(first, yuccawire.KindKeepAlive).MessagesReceived
		}, soon).Should(BeNumerically(">", 15))
		Expect(far.Send(kindTest, "answer")).To(Succeed())
		Eventually(received, soon).Should(Receive(HaveField("Kind", kindTest)))
	})

	// The connection of a stream goes silent, or its sender's process ends. Without an error, the caller
	// would wait for the rest of the answer for ever, or take half of it for the whole.
	DescribeTable("end by type",
		func(end func(far *yuccalink.Conn), want any) {
			near, far := dial()
			end(far)
			_, err := near.Receive()
			Expect(err).To(Or(MatchError(want), BeAssignableToTypeOf(want)))
			Expect(near.Send(kindTest, "late")).To(MatchError(yuccalink.ErrClosed))
		},
		Entry("after a goodbye", func(far *yuccalink.Conn) { far.Close() }, io.EOF),
		Entry("after a cut", func(*yuccalink.Conn) { rel.cut() }, yuccalink.ErrCut),
		Entry("after silence", func(*yuccalink.Conn) { rel.forget(true, true) }, &yuccalink.SilentError{}),
	)

	It("end with the hub that dialled them", func() {
		_, far := dial()
		first.Close()
		_, err := far.Receive()
		Expect(err).To(MatchError(io.EOF))
	})

	It("fail for a peer that takes nothing", func() {
		near, _ := dial()
		var err error
		for range 100 {
			if err = near.Send(kindTest, make([]byte, 1<<20)); err != nil {
				break
			}
		}
		Expect(err).To(BeAssignableToTypeOf(&yuccalink.StuckError{}))
	})

	It("aren't dialled for a caller who has given up", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := first.Dial(ctx, rel.address())
		Expect(err).To(MatchError(context.Canceled))
	})
})
