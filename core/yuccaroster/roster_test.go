package yuccaroster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

var start = time.Unix(1_700_000_000, 0)

func entry(name yuccaid.Target, revision yuccaroster.Revision) yuccaroster.Entry {
	return yuccaroster.Entry{Target: name, Pool: "draft", Address: "10.0.0.1:80", Slots: 6, Revision: revision}
}

func leaving(one yuccaroster.Entry) yuccaroster.Entry {
	one.Leaving = true
	return one
}

func names(entries []yuccaroster.Entry) []yuccaid.Target {
	list := make([]yuccaid.Target, 0, len(entries))
	for _, one := range entries {
		list = append(list, one.Target)
	}
	return list
}

var _ = Describe("a roster", func() {
	It("takes the newer of two registrations, in whichever order they come", func() {
		ros := yuccaroster.New()
		Expect(ros.Put(start, leaving(entry("a", 7)))).To(BeTrue())
		Expect(ros.Put(start, entry("a", 5))).To(BeFalse())
		Expect(ros.Usable("draft")).To(BeEmpty())
		found, known := ros.Find("a")
		Expect(known).To(BeTrue())
		Expect(found.Leaving).To(BeTrue())
	})

	// A target leaves for good while everything works. A daemon that went on sending there
	// would have requests refused or lost once the process has ended.
	It("drops a target at once when its removal is sure", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		Expect(ros.Remove(start, yuccaroster.Removal{Target: "a", Revision: 2}, true)).To(BeTrue())
		Expect(ros.Usable("draft")).To(BeEmpty())
	})

	// A peer that was slow passes on a registration that has been removed since.
	It("isn't brought back by late news", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		ros.Remove(start, yuccaroster.Removal{Target: "a", Revision: 3}, true)
		Expect(ros.Put(start, entry("a", 2))).To(BeFalse())
		Expect(ros.Usable("draft")).To(BeEmpty())
		Expect(ros.Put(start, entry("a", 4))).To(BeTrue())
		Expect(names(ros.Usable("draft"))).To(Equal([]yuccaid.Target{"a"}))
	})

	// The platform's service was down for longer than registrations live, and the first list
	// after it is empty, although every target works. Believing it would refuse all callers
	// until the targets have registered again.
	It("keeps what an untrusted list lacks for the grace, and longer if it comes back", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		ros.Put(start, entry("b", 2))
		ros.ReplaceAll(start, nil, 9, false)
		Expect(names(ros.Usable("draft"))).To(Equal([]yuccaid.Target{"a", "b"}))
		Expect(ros.Tick(start.Add(1900 * time.Millisecond))).To(BeEmpty())
		Expect(ros.Put(start.Add(time.Second), entry("b", 10))).To(BeTrue())
		Expect(ros.Tick(start.Add(2 * time.Second))).To(Equal([]yuccaid.Target{"a"}))
		Expect(names(ros.Usable("draft"))).To(Equal([]yuccaid.Target{"b"}))
	})

	It("doesn't start the grace anew with each untrusted list", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		for at := range 10 {
			ros.ReplaceAll(start.Add(time.Duration(at)*300*time.Millisecond), nil, yuccaroster.Revision(5+at), false)
		}
		Expect(ros.Tick(start.Add(2 * time.Second))).To(Equal([]yuccaid.Target{"a"}))
	})

	It("takes a trusted list for the truth", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		ros.ReplaceAll(start, []yuccaroster.Entry{entry("b", 4)}, 5, true)
		Expect(names(ros.Entries())).To(Equal([]yuccaid.Target{"b"}))
	})

	It("forgets a removal after a while", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		ros.Remove(start, yuccaroster.Removal{Target: "a", Revision: 2}, true)
		ros.Tick(start.Add(time.Minute))
		Expect(ros.Put(start.Add(time.Minute), entry("a", 1))).To(BeTrue())
	})
})
