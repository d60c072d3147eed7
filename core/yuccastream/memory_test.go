package yuccastream_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastream"
)

var _ = Describe("the memory of streams", func() {
	start := time.Unix(1_700_000_000, 0)
	one := yuccastream.Origin{Pool: "notes", Version: "v1"}
	record := func(key yuccastream.Key) yuccastream.Record {
		return yuccastream.Record{Key: key, Origin: one, For: 20 * time.Second}
	}
	always := func(yuccastream.Origin) bool { return true }

	It("has an origin until its time has passed", func() {
		var mem yuccastream.Memory
		Expect(mem.Put(start, record(1))).To(BeTrue())
		Expect(mem.Put(start.Add(5*time.Second), record(1))).To(BeFalse())
		origin, found := mem.Find(start.Add(24*time.Second), 1)
		Expect(found).To(BeTrue())
		Expect(origin).To(Equal(one))
		_, found = mem.Find(start.Add(25*time.Second), 1)
		Expect(found).To(BeFalse())
		mem.Expire(start.Add(25 * time.Second))
		Expect(mem.Len()).To(BeZero())
	})

	// Guards against the failure that a stream goes on at one of two versions that it may have begun at.
	It("isn't certain of a version if it is told two", func() {
		var mem yuccastream.Memory
		mem.Put(start, record(1))
		other := record(1)
		other.Origin.Version = "v2"
		Expect(mem.Put(start, other)).To(BeTrue())
		Expect(mem.Put(start, record(1))).To(BeFalse())
		origin, found := mem.Find(start, 1)
		Expect(found).To(BeTrue())
		Expect(origin.Version).To(BeEmpty())
	})

	// Guards against the failure that a stream goes on at the version that its target had before it
	// restarted, although the restarted target began it.
	It("doubts the streams of a target that has restarted with another version, and tells so", func() {
		var mem yuccastream.Memory
		mem.Begin(start, record(1), "a")
		mem.Begin(start.Add(10*time.Second), record(2), "a")
		mem.Begin(start.Add(10*time.Second), record(3), "b")
		Expect(mem.TakeUnsent(start.Add(10*time.Second), always)).To(HaveLen(3))
		Expect(mem.TakeUnsent(start.Add(10*time.Second), always)).To(BeEmpty())
		mem.Doubt("a", start.Add(5*time.Second))
		Expect(mem.TakeUnsent(start.Add(11*time.Second), always)).To(ConsistOf(yuccastream.Record{Key: 2, Origin: yuccastream.Origin{Pool: "notes"}, For: 19 * time.Second}))
		origin, _ := mem.Find(start.Add(11*time.Second), 1)
		Expect(origin).To(Equal(one))
	})

	It("is bounded", func() {
		var mem yuccastream.Memory
		for key := range yuccastream.Key(100_000) {
			mem.Begin(start, record(key), "a")
		}
		Expect(mem.Len()).To(Equal(1 << 16))
		Expect(mem.TakeUnsent(start, always)).To(HaveLen(1 << 16))
	})

	// Guards against the failure that a stream goes on at the version of another one of its account.
	It("has nothing of streams of which it isn't known which request began them", func() {
		var mem yuccastream.Memory
		unstated := record(yuccastream.NewKey("rally", ""))
		mem.Begin(start, unstated, "a")
		Expect(mem.Put(start, unstated)).To(BeFalse())
		_, found := mem.Find(start, unstated.Key)
		Expect(found).To(BeFalse())
		Expect(mem.TakeUnsent(start, always)).To(BeEmpty())
	})

	It("tells the streams of two accounts apart", func() {
		Expect(yuccastream.NewKey("rally", "r1")).NotTo(Equal(yuccastream.NewKey("desk", "r1")))
	})
})
