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

func leaving(reg yuccaroster.Entry) yuccaroster.Entry {
	reg.Leaving = true
	return reg
}

func names(entries []yuccaroster.Entry) []yuccaid.Target {
	list := make([]yuccaid.Target, 0, len(entries))
	for _, reg := range entries {
		list = append(list, reg.Target)
	}
	return list
}

var _ = Describe("a roster", func() {
	It("keeps the newer of two registrations, in whichever order they arrive", func() {
		ros := yuccaroster.New()
		Expect(ros.Put(start, leaving(entry("a", 7)))).To(BeTrue())
		Expect(ros.Put(start, entry("a", 5))).To(BeFalse())
		Expect(ros.Usable("draft")).To(BeEmpty())
		found, known := ros.Find("a")
		Expect(known).To(BeTrue())
		Expect(found.Leaving).To(BeTrue())
	})

	// A target ends its registration while the platform's service works. A daemon that kept the
	// target for the grace period would send it requests that are refused, or lost once the
	// target's process has ended.
	It("drops a target at once when its removal is sure", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		Expect(ros.Remove(start, yuccaroster.Removal{Target: "a", Revision: 2}, true)).To(BeTrue())
		Expect(ros.Usable("draft")).To(BeEmpty())
	})

	// A slow daemon forwards a registration that has been removed in the meantime. If the
	// registration were added again, requests would be sent to a target that no longer runs.
	It("doesn't add a target again on a registration older than its removal", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		ros.Remove(start, yuccaroster.Removal{Target: "a", Revision: 3}, true)
		Expect(ros.Put(start, entry("a", 2))).To(BeFalse())
		Expect(ros.Usable("draft")).To(BeEmpty())
		Expect(ros.Put(start, entry("a", 4))).To(BeTrue())
		Expect(names(ros.Usable("draft"))).To(Equal([]yuccaid.Target{"a"}))
	})

	// The platform's service was down for longer than the lifetime of a registration, so the
	// first list after the outage is empty although every target works. If the roster applied
	// it at once, all requests would be refused until the targets have registered again.
	It("keeps a target that an unsure list lacks for the grace period, and for good if it registers again", func() {
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

	// Unsure lists arrive at intervals shorter than the grace period. If each list restarted
	// the grace period, a target that ended during the outage would never be removed.
	It("doesn't restart the grace period with each unsure list", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		for i := range 10 {
			ros.ReplaceAll(start.Add(time.Duration(i)*300*time.Millisecond), nil, yuccaroster.Revision(5+i), false)
		}
		Expect(ros.Tick(start.Add(2 * time.Second))).To(Equal([]yuccaid.Target{"a"}))
	})

	// Guards against the failure that daemons which take another one's list keep a target that this one removes a moment later.
	It("hands a tentative removal on with the time that is left of it", func() {
		ros, peer := yuccaroster.New(), yuccaroster.New()
		ros.Put(start, entry("a", 1))
		ros.Put(start, entry("b", 2))
		ros.ReplaceAll(start, nil, 9, false)
		later := start.Add(500 * time.Millisecond)
		pending := ros.PendingRemovals(later)
		Expect(pending).To(Equal([]yuccaroster.PendingRemoval{
			{Removal: yuccaroster.Removal{Target: "a", Revision: 9}, Remaining: 1500 * time.Millisecond},
			{Removal: yuccaroster.Removal{Target: "b", Revision: 9}, Remaining: 1500 * time.Millisecond},
		}))
		peer.ReplaceAll(later, ros.Entries(), 9, true)
		for _, removal := range pending {
			Expect(peer.RemovePending(later, removal)).To(BeTrue())
		}
		Expect(names(peer.Usable("draft"))).To(Equal([]yuccaid.Target{"a", "b"}))
		Expect(peer.Put(later, entry("b", 10))).To(BeTrue())
		Expect(peer.Tick(start.Add(1900 * time.Millisecond))).To(BeEmpty())
		Expect(peer.Tick(start.Add(2 * time.Second))).To(Equal([]yuccaid.Target{"a"}))
		Expect(names(peer.Usable("draft"))).To(Equal([]yuccaid.Target{"b"}))
		Expect(peer.PendingRemovals(start.Add(2 * time.Second))).To(BeEmpty())
	})

	It("removes at once the targets that a sure list lacks", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		ros.ReplaceAll(start, []yuccaroster.Entry{entry("b", 4)}, 5, true)
		Expect(names(ros.Entries())).To(Equal([]yuccaid.Target{"b"}))
	})

	// Guards against the failure that a target which has come and left while a daemon read nothing gets requests from all
	// daemons once that one reads on.
	It("doesn't add a target that the same changes end", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("b", 1))
		fresh := ros.Update(start, []yuccaroster.Entry{entry("a", 5), leaving(entry("b", 6))},
			[]yuccaroster.Removal{{Target: "a", Revision: 7}, {Target: "b", Revision: 8}}, false)
		Expect(names(ros.Entries())).To(Equal([]yuccaid.Target{"b"}))
		Expect(ros.Usable("draft")).To(BeEmpty())
		Expect(names(fresh)).To(Equal([]yuccaid.Target{"a", "b"}))
	})

	It("adds a target that has come back under its name within the same changes", func() {
		ros := yuccaroster.New()
		ros.Update(start, []yuccaroster.Entry{entry("a", 5), entry("a", 9)}, []yuccaroster.Removal{{Target: "a", Revision: 7}}, false)
		Expect(names(ros.Usable("draft"))).To(Equal([]yuccaid.Target{"a"}))
	})

	It("deletes the record of a removal after a minute", func() {
		ros := yuccaroster.New()
		ros.Put(start, entry("a", 1))
		ros.Remove(start, yuccaroster.Removal{Target: "a", Revision: 2}, true)
		ros.Tick(start.Add(time.Minute))
		Expect(ros.Put(start.Add(time.Minute), entry("a", 1))).To(BeTrue())
	})
})
