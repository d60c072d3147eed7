package yuccastream_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastream"
)

var _ = Describe("a survey of what targets keep", func() {
	start := time.Unix(1_700_000_000, 0)
	one := yuccastream.Findings{Held: map[yuccastream.PartKey][]yuccastream.Holding{7: {holding("notes", "v1", 992)}}}

	It("has what the targets keep until streams of before can't be taken up any more", func() {
		sv := yuccastream.NewSurvey(start)
		Expect(sv.Start(start)).To(BeTrue())
		Expect(sv.Running()).To(BeTrue())
		sv.End(one)
		Expect(sv.Running()).To(BeFalse())
		sv.Expire(start.Add(time.Minute))
		Expect(sv.Find(7)).To(Equal(one.Held[7]))
		Expect(sv.Find(8)).To(BeEmpty())
		sv.Expire(start.Add(time.Minute + time.Second))
		Expect(sv.Known()).To(BeFalse())
	})

	// Guards against the failure that a stream goes on at the version of the targets that told, because one of another version that kept
	// its prompt too didn't.
	It("has targets that didn't tell keep some of any part", func() {
		sv := yuccastream.NewSurvey(start)
		sv.Start(start)
		silent := holding("notes", "v2", 0)
		sv.End(yuccastream.Findings{Held: one.Held, Silent: map[yuccastream.Origin]bool{silent.Origin: true}})
		Expect(sv.Find(7)).To(ConsistOf(one.Held[7][0], silent))
		Expect(sv.Find(8)).To(ConsistOf(silent))
		Expect(sv.Tells(7)).To(BeFalse())
	})

	// Guards against the failure that callers who take up streams that nobody has begun keep targets from their work.
	It("asks the targets seldom, the more so the longer the daemon runs", func() {
		asked := func(age time.Duration) (count int) {
			sv := yuccastream.NewSurvey(start)
			for now := start.Add(age); now.Before(start.Add(age + time.Minute)); now = now.Add(10 * time.Millisecond) {
				if sv.Start(now) {
					sv.End(yuccastream.Findings{})
					count++
				}
			}
			return count
		}
		Expect(asked(0)).To(BeNumerically("<=", 14))
		Expect(asked(time.Hour)).To(Equal(4))
	})

	// Guards against the failure that a stream which a lost daemon began goes on at the version of an earlier attempt, because the target
	// that began it told before.
	It("knows nothing from before another daemon was lost, and may ask anew", func() {
		sv := yuccastream.NewSurvey(start)
		lost := start.Add(time.Hour)
		Expect(sv.Start(lost.Add(-time.Second))).To(BeTrue())
		sv.End(one)
		sv.LoseDaemon(lost)
		_, found := yuccastream.OriginOf(sv.Find(7), 1000)
		Expect(found).To(BeFalse())
		Expect(sv.Start(lost)).To(BeTrue())
		sv.LoseDaemon(lost)
		sv.End(one)
		Expect(sv.Known()).To(BeFalse())
		Expect(sv.Start(lost.Add(time.Second))).To(BeTrue())
		sv.End(one)
		Expect(sv.Find(7)).To(Equal(one.Held[7]))
	})

	It("asks the targets once at a time", func() {
		sv := yuccastream.NewSurvey(start)
		Expect(sv.Start(start)).To(BeTrue())
		Expect(sv.Start(start.Add(time.Hour))).To(BeFalse())
	})

	// Guards against the failure that a stream goes on at the version that some targets tell, while others that kept its prompt too
	// count as if they kept nothing, because they kept too much to be held.
	It("is bounded, and tells no origin beyond", func() {
		sv := yuccastream.NewSurvey(start)
		sv.Start(start)
		many := make(map[yuccastream.PartKey][]yuccastream.Holding)
		for part := range yuccastream.PartKey(1<<15 + 1) {
			many[part] = one.Held[7]
		}
		sv.End(yuccastream.Findings{Held: many})
		_, found := yuccastream.OriginOf(append(sv.Find(7), holding("notes", "v2", 1000)), 1000)
		Expect(found).To(BeFalse())
	})
})
