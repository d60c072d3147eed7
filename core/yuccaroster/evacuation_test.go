package yuccaroster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

// in returns a registration in a data centre.
func in(centre yuccaid.Centre, reg yuccaroster.Entry) yuccaroster.Entry {
	reg.Centre = centre
	return reg
}

var _ = Describe("an evacuated data centre", func() {
	newRoster := func() *yuccaroster.Roster {
		ros := yuccaroster.New()
		ros.Put(start, in("odessa", entry("a", 1)))
		ros.Put(start, in("austin", entry("b", 2)))
		return ros
	}

	It("has no usable targets until the evacuation ends", func() {
		ros := newRoster()
		version := ros.Version()
		Expect(ros.Put(start, yuccaroster.Evacuation("austin", 7))).To(BeTrue())
		Expect(ros.Version()).NotTo(Equal(version))
		Expect(names(ros.Usable("draft"))).To(Equal([]yuccaid.Target{"a"}))
		Expect(ros.Evacuated("austin")).To(BeTrue())
		Expect(ros.EvacuatedCentres()).To(Equal(map[yuccaid.Centre]bool{"austin": true}))
		Expect(ros.Remove(start, yuccaroster.EvacuationEnd("austin", 9), true)).To(BeTrue())
		Expect(names(ros.Usable("draft"))).To(Equal([]yuccaid.Target{"a", "b"}))
		Expect(ros.Evacuated("austin")).To(BeFalse())
	})

	// Guards against the failure that a target which registers while its data centre is evacuated gets requests.
	It("has none that register meanwhile", func() {
		ros := newRoster()
		ros.Put(start, yuccaroster.Evacuation("austin", 7))
		ros.Put(start, in("austin", entry("c", 8)))
		ros.Put(start, in("austin", entry("b", 9)))
		Expect(names(ros.Usable("draft"))).To(Equal([]yuccaid.Target{"a"}))
	})

	// Guards against the failure that a late message ends an evacuation, or brings back one that has ended.
	It("is evacuated by the newest message, in whichever order they arrive", func() {
		ros := newRoster()
		ros.Put(start, yuccaroster.Evacuation("austin", 9))
		Expect(ros.Remove(start, yuccaroster.EvacuationEnd("austin", 8), true)).To(BeFalse())
		Expect(ros.Evacuated("austin")).To(BeTrue())
		ros.Remove(start, yuccaroster.EvacuationEnd("austin", 11), true)
		Expect(ros.Put(start, yuccaroster.Evacuation("austin", 10))).To(BeFalse())
		Expect(ros.Evacuated("austin")).To(BeFalse())
	})

	// Guards against the failure that a daemon which restarts, or which missed the changes, sends requests there.
	It("reaches other daemons with the registrations", func() {
		ros, other := newRoster(), yuccaroster.New()
		ros.Put(start, yuccaroster.Evacuation("austin", 7))
		raw, err := msgpack.Marshal(ros.Entries())
		Expect(err).NotTo(HaveOccurred())
		var sent []yuccaroster.Entry
		Expect(msgpack.Unmarshal(raw, &sent)).To(Succeed())
		other.ReplaceAll(start, sent, 7, true)
		Expect(names(other.Usable("draft"))).To(Equal([]yuccaid.Target{"a"}))
		Expect(names(other.Targets())).To(Equal([]yuccaid.Target{"a", "b"}))
		other.ReplaceAll(start, []yuccaroster.Entry{in("odessa", entry("a", 1)), in("austin", entry("b", 2))}, 9, true)
		Expect(names(other.Usable("draft"))).To(Equal([]yuccaid.Target{"a", "b"}))
	})

	// Guards against the failure that a list which may lack items ends an evacuation.
	It("stays evacuated for the grace period where the end isn't sure", func() {
		ros := newRoster()
		ros.Put(start, yuccaroster.Evacuation("austin", 7))
		ros.ReplaceAll(start, []yuccaroster.Entry{in("austin", entry("b", 2))}, 9, false)
		ros.Tick(start.Add(1900 * time.Millisecond))
		Expect(ros.Evacuated("austin")).To(BeTrue())
		ros.Tick(start.Add(2 * time.Second))
		Expect(ros.Evacuated("austin")).To(BeFalse())
	})
})
