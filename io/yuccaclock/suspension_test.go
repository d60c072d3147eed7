package yuccaclock_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccaclock"
)

func TestYuccaclock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaclock")
}

var _ = Describe("the check for suspensions", func() {
	var boot time.Duration
	var failure error
	read := func() (time.Duration, error) { return boot, failure }
	start := time.Now()

	BeforeEach(func() { boot, failure = time.Hour, nil })

	It("finds as much time on both clocks while the VM runs", func() {
		sus := yuccaclock.NewSuspensions(read)
		monotonic, onBoot := sus.Check(start)
		Expect([]time.Duration{monotonic, onBoot}).To(Equal([]time.Duration{0, 0}))
		boot += 20 * time.Millisecond
		monotonic, onBoot = sus.Check(start.Add(20 * time.Millisecond))
		Expect([]time.Duration{monotonic, onBoot}).To(Equal([]time.Duration{20 * time.Millisecond, 20 * time.Millisecond}))
	})

	// The VM is suspended for 2.4 s. The monotonic clock stops meanwhile, so the daemon would go on
	// with a view of its peers that is 2.4 s old.
	It("finds a suspension on the boot clock", func() {
		sus := yuccaclock.NewSuspensions(read)
		sus.Check(start)
		boot += 2420 * time.Millisecond
		monotonic, onBoot := sus.Check(start.Add(20 * time.Millisecond))
		Expect(onBoot - monotonic).To(Equal(2400 * time.Millisecond))
	})

	// The first reading, or one between two others, fails. A difference to a reading that doesn't
	// exist would look like a suspension of hours.
	It("assumes no suspension when the boot clock can't be read", func() {
		failure = errors.New("no clock")
		sus := yuccaclock.NewSuspensions(read)
		sus.Check(start)
		failure = nil
		monotonic, onBoot := sus.Check(start.Add(time.Second))
		Expect(onBoot).To(Equal(monotonic))
		failure = errors.New("no clock")
		monotonic, onBoot = sus.Check(start.Add(2 * time.Second))
		Expect(onBoot).To(Equal(monotonic))
	})

	It("reads a boot clock that advances on this system", func() {
		first, err := yuccaclock.SinceBoot()
		Expect(err).NotTo(HaveOccurred())
		second, err := yuccaclock.SinceBoot()
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeNumerically(">=", first))
	})
})
