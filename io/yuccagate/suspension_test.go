package yuccagate_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccagate"
)

var _ = Describe("a gateway whose VM is suspended", func() {
	// A VM is suspended for 2.4 s and its monotonic clock stops meanwhile. Without the boot clock
	// the daemon would go on with a view of its peers that is 2.4 s old, and lead pools that other
	// daemons lead by now.
	It("drops its view of the other daemons", func() {
		var suspended atomic.Int64
		start := time.Now()
		clock := func() (time.Duration, error) {
			return time.Since(start) + time.Duration(suspended.Load()), nil
		}
		logged := &lines{}
		peers := listen()
		gt, err := yuccagate.New(settings("entry-1", "odessa", peers, nil), dialect, decode, peers, yuccagate.WithLog(logged), yuccagate.WithBootClock(clock))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gt.Close)
		Consistently(logged.all, 100*time.Millisecond).ShouldNot(ContainSubstring("woken"))
		suspended.Store(int64(2400 * time.Millisecond))
		Eventually(logged.all).Should(ContainSubstring("woken from a pause"))
	})
})
