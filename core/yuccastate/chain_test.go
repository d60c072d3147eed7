package yuccastate_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

var noon = time.Unix(1_800_000_000, 0)

// must offers what a daemon has to accept.
func must(chain *yuccastate.Chain, key string, raw []byte) yuccastate.Verdict {
	GinkgoHelper()
	verdict, err := chain.Offer(noon, key, raw)
	Expect(err).NotTo(HaveOccurred())
	return verdict
}

// grown returns a chain with the first note and more that weigh goodput 2, 3, 4...
func grown(more int) *yuccastate.Chain {
	GinkgoHelper()
	chain := yuccastate.NewChain()
	key, raw := published(chain.State(), string(read("first.yaml")))
	must(chain, key, raw)
	for i := range more {
		key, raw := published(chain.State(), weigh(i+2))
		must(chain, key, raw)
	}
	return chain
}

func weigh(weight int) string {
	return fmt.Sprintf("changed: {policy: {goodputWeight: %d}}", weight)
}

var _ = Describe("a chain", func() {
	It("accepts a note once and tells the audit trail", func() {
		chain := yuccastate.NewChain()
		before := chain.Digest()
		key, raw := published(chain.State(), string(read("first.yaml")))
		Expect(must(chain, key, raw).Entries).To(ConsistOf(yuccastate.Entry{
			At: noon, Kind: yuccastate.EntryAccepted, By: "anna", Number: 1, Before: before, After: chain.Digest(),
		}))
		Expect(must(chain, key, raw)).To(Equal(yuccastate.Verdict{Kind: yuccastate.VerdictRepeated, Number: 1}))
		commented := append([]byte("# reviewed\n"), raw...)
		Expect(must(chain, key, commented).Kind).To(Equal(yuccastate.VerdictRepeated), "layout means nothing")
	})

	It("takes notes that come before their predecessor once that is there", func() {
		// The service's pages and peers' answers overtake each other. Without holding,
		// the later note would be missed until somebody fetched it again.
		source, chain := grown(3), yuccastate.NewChain()
		for _, number := range []yuccaid.ConfigNumber{3, 2, 4} {
			raw, _ := source.Note(number)
			Expect(must(chain, yuccastate.NoteKey(number), raw).Kind).To(Equal(yuccastate.VerdictHeld))
		}
		Expect(chain.Missing()).To(Equal([]yuccaid.ConfigNumber{1}))
		Expect(chain.PlanFetch(5).Notes).To(Equal([]yuccaid.ConfigNumber{1, 5}))
		raw, _ := source.Note(1)
		Expect(must(chain, yuccastate.NoteKey(1), raw).Entries).To(HaveLen(4))
		Expect(chain.Digest()).To(Equal(source.Digest()))
		Expect(chain.Missing()).To(BeEmpty())
	})

	It("holds a bounded number of notes, the lowest ones, and asks for bounded ones", func() {
		// A key with an absurd number must not take the memory of notes that do follow.
		source, chain := grown(2), yuccastate.NewChain()
		for number := yuccaid.ConfigNumber(1_000_000); number < 1_000_200; number++ {
			must(chain, yuccastate.NoteKey(number), []byte("by: nobody"))
		}
		Expect(chain.Held()).To(Equal(64))
		for _, number := range []yuccaid.ConfigNumber{3, 2, 1} {
			raw, _ := source.Note(number)
			must(chain, yuccastate.NoteKey(number), raw)
		}
		Expect(chain.Number()).To(Equal(yuccaid.ConfigNumber(3)))
		Expect(len(chain.Missing())).To(BeNumerically("<=", 64))
		Expect(chain.PlanFetch(chain.Number() + 1000)).To(Equal(yuccastate.FetchPlan{Snapshot: true}))
		Expect(chain.PlanFetch(chain.Number())).To(Equal(yuccastate.FetchPlan{}))
	})

	It("raises an alarm once when the content of an accepted key changes", func() {
		// An operator overwrites a key in place of adding a note. Daemons that start
		// afterwards would run another configuration under the same number.
		chain := grown(1)
		before := chain.Digest()
		for _, raw := range []string{"number: 2\nby: mallory\n", "by: mallory\nnot: a note"} {
			verdict, err := chain.Offer(noon, yuccastate.NoteKey(2), []byte(raw))
			Expect(err).To(MatchError(yuccastate.ErrContentChanged))
			Expect(verdict.Kind).To(Equal(yuccastate.VerdictAlarm))
			Expect(verdict.Entries).To(HaveExactElements(HaveField("Kind", yuccastate.EntryAlarm)))
			Expect(verdict.Entries[0].By).To(Equal("mallory"))
			again, err := chain.Offer(noon, yuccastate.NoteKey(2), []byte(raw))
			Expect(err).To(MatchError(yuccastate.ErrContentChanged))
			Expect(again.Entries).To(BeEmpty(), "told already")
		}
		Expect(chain.Digest()).To(Equal(before))
	})

	It("refuses the slower of two operators for its base, and tells once", func() {
		// Both read configuration 1 and publish under the next free keys. Taking both
		// would put a mixture in force that neither has seen.
		chain := grown(0)
		_, slower := published(chain.State(), weigh(9))
		key, faster := published(chain.State(), weigh(2))
		must(chain, key, faster)
		late := []byte(strings.Replace(string(slower), "number: 2", "number: 3", 1))
		verdict, err := chain.Offer(noon, yuccastate.NoteKey(3), late)
		Expect(err).To(MatchError(yuccastate.ErrBase))
		Expect(verdict.Entries).To(HaveLen(1))
		Expect(verdict.Entries[0].Reason).To(Equal("wrong base"))
		Expect(verdict.Entries[0].By).To(Equal("anna"))
		Expect(verdict.Entries[0].After).To(Equal(verdict.Entries[0].Before))
		Expect(chain.PlanFetch(3).Snapshot).To(BeFalse(), "what is wrong for all needs no snapshot")
		verdict, _ = chain.Offer(noon, yuccastate.NoteKey(3), late)
		Expect(verdict.Entries).To(BeEmpty())
		key, mended := published(chain.State(), weigh(9))
		Expect(must(chain, key, mended).Kind).To(Equal(yuccastate.VerdictAccepted), "under the same key")
	})

	DescribeTable("refuses what is published under a wrong key",
		func(key string, number yuccaid.ConfigNumber) {
			chain := grown(0)
			_, raw := published(chain.State(), weigh(2))
			raw = []byte(strings.Replace(string(raw), "number: 2", fmt.Sprint("number: ", number), 1))
			verdict, err := chain.Offer(noon, key, raw)
			Expect(err).To(MatchError(yuccastate.ErrKey))
			Expect(verdict.Kind).To(Equal(yuccastate.VerdictRefused))
		},
		Entry("another number's", yuccastate.NoteKey(2), yuccaid.ConfigNumber(3)),
		Entry("without leading zeros", "notes/2", yuccaid.ConfigNumber(2)),
		Entry("not a number", "notes/latest", yuccaid.ConfigNumber(2)),
		Entry("number zero", yuccastate.NoteKey(0), yuccaid.ConfigNumber(2)),
		Entry("a baseline's", yuccastate.PartKey(2, 0), yuccaid.ConfigNumber(2)),
	)

	It("forgets the texts of old notes and then whether they changed", func() {
		// A daemon that runs for years would otherwise grow with every note.
		chain := grown(5000)
		_, kept := chain.Note(5001)
		Expect(kept).To(BeTrue())
		_, kept = chain.Note(4900)
		Expect(kept).To(BeFalse())
		verdict, err := chain.Offer(noon, yuccastate.NoteKey(4900), []byte("by: other"))
		Expect(verdict.Kind).To(Equal(yuccastate.VerdictAlarm))
		Expect(err).To(HaveOccurred())
		Expect(must(chain, yuccastate.NoteKey(10), []byte("by: other")).Kind).To(Equal(yuccastate.VerdictOld))
	})
})

var _ = Describe("two chains", func() {
	It("keep what each accepted under one number, say so, and follow the next note", func() {
		// During a cut an operator overwrites note 2. One data centre has accepted the
		// first content, the other reads the second only. Neither may revert.
		east, west := grown(0), grown(0)
		key, first := published(east.State(), weigh(2))
		_, second := published(east.State(), weigh(9))
		must(east, key, first)
		must(west, key, second)
		kept := west.Digest()
		for range 2 {
			standing, entries := west.ComparePeer(noon, "east-1", east.Number(), east.Digest())
			Expect(standing).To(Equal(yuccastate.RelationForked))
			Expect(len(entries)).To(BeNumerically("<=", 1))
		}
		_, entries := east.ComparePeer(noon, "west-1", west.Number(), west.Digest())
		Expect(entries).To(HaveExactElements(HaveField("Kind", yuccastate.EntryAlarm)))
		verdict, err := west.Adopt(noon, "east-1", east.State(), east.Digest())
		Expect(err).To(MatchError(yuccastate.ErrForked))
		Expect(verdict.Kind).To(Equal(yuccastate.VerdictAlarm))
		Expect(west.Digest()).To(Equal(kept))

		key, third := published(east.State(), weigh(5))
		must(east, key, third)
		standing, _ := east.ComparePeer(noon, "west-1", west.Number(), west.Digest())
		Expect(standing).To(Equal(yuccastate.RelationForked), "also when the other stays behind")
		Expect(west.PlanFetch(3)).To(Equal(yuccastate.FetchPlan{Notes: []yuccaid.ConfigNumber{3}}))
		_, err = west.Offer(noon, key, third)
		Expect(err).To(MatchError(yuccastate.ErrBase))
		Expect(west.PlanFetch(3)).To(Equal(yuccastate.FetchPlan{Snapshot: true}))
		verdict, err = west.Adopt(noon, "east-1", east.State(), east.Digest())
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Entries).To(ConsistOf(yuccastate.Entry{
			At: noon, Kind: yuccastate.EntryAdopted, By: "east-1", Number: 3, Before: kept, After: east.Digest(),
		}))
		_, spread := west.Note(2)
		Expect(spread).To(BeFalse(), "the text of the branch that did not hold is no longer handed on")
	})

	It("take a snapshot only if it is higher and is what was announced", func() {
		// A peer that was paused offers what it held long ago; a snapshot may also be
		// of another number than the heartbeat that announced it.
		old, chain := grown(0), grown(2)
		before := chain.Digest()
		_, err := chain.Adopt(noon, "peer", old.State(), old.Digest())
		Expect(err).To(MatchError(yuccastate.ErrNotHigher))
		verdict, err := chain.Adopt(noon, "peer", chain.State(), chain.Digest())
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Kind).To(Equal(yuccastate.VerdictRepeated))
		newer := grown(3)
		_, err = chain.Adopt(noon, "peer", newer.State(), old.Digest())
		Expect(err).To(MatchError(yuccastate.ErrDigest))
		Expect(chain.Digest()).To(Equal(before))
		standing, _ := chain.ComparePeer(noon, "peer", newer.Number(), newer.Digest())
		Expect(standing).To(Equal(yuccastate.RelationLocalBehind))
		standing, _ = newer.ComparePeer(noon, "chain", chain.Number(), chain.Digest())
		Expect(standing).To(Equal(yuccastate.RelationLocalAhead))
		standing, _ = chain.ComparePeer(noon, "twin", chain.Number(), chain.Digest())
		Expect(standing).To(Equal(yuccastate.RelationSame))
	})

	It("go on from a snapshot with the notes that waited", func() {
		source, chain := grown(4), yuccastate.NewChain()
		raw, _ := source.Note(5)
		must(chain, yuccastate.NoteKey(5), raw)
		verdict, err := chain.Adopt(noon, "baseline", grown(3).State(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Entries).To(HaveExactElements(HaveField("Kind", yuccastate.EntryAdopted), HaveField("Kind", yuccastate.EntryAccepted)))
		Expect(chain.Digest()).To(Equal(source.Digest()))
	})
})
