package yuccahop_test

import (
	"bufio"
	"context"
	"fmt"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccahop"
)

var _ = Describe("a client's unused connections", func() {
	ctx := context.Background()

	It("keeps no more unused connections than its limit, and forgets those of a target", func() {
		limits := yuccahop.DefaultLimits()
		limits.IdlePerTarget = 2
		cl := yuccahop.New(yuccahop.WithLimits(limits))
		hold := make(chan struct{})
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			for {
				id, _ := readRequest(in)
				if id == "" {
					return
				}
				<-hold
				fmt.Fprint(conn, answer(id, "x"))
			}
		})
		done := make(chan error)
		for at := range 4 {
			go func() { _, err := call(ctx, cl, tgt, fmt.Sprint(at), ""); done <- err }()
		}
		Eventually(tgt.conns.Load).Should(Equal(int64(4)))
		close(hold)
		for range 4 {
			Expect(<-done).To(Succeed())
		}
		for at := range 2 {
			_, err := call(ctx, cl, tgt, fmt.Sprint("again", at), "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(tgt.conns.Load()).To(Equal(int64(4)))
		cl.Forget(tgt.address())
		_, err := call(ctx, cl, tgt, "last", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(tgt.conns.Load()).To(Equal(int64(5)))
	})

	// A fleet has hundreds of targets, and one connection waits for each. Kept without a bound
	// they use up the daemon's descriptors, and every new connection fails.
	It("keeps no more unused connections to all targets than its limit", func() {
		limits := yuccahop.DefaultLimits()
		limits.IdleTotal = 2
		cl := yuccahop.New(yuccahop.WithLimits(limits))
		for at := range 4 {
			tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
				for id, _ := readRequest(in); id != ""; id, _ = readRequest(in) {
					fmt.Fprint(conn, answer(id, "x"))
				}
			})
			_, err := call(ctx, cl, tgt, fmt.Sprint("first", at), "")
			Expect(err).NotTo(HaveOccurred())
			_, err = call(ctx, cl, tgt, fmt.Sprint("second", at), "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(cl.Reused()).To(Equal(int64(2)))
		cl.Close()
	})
})
