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

// noon is the time of all audit entries in these tests.
var noon = time.Unix(1_800_000_000, 0)

// mustOffer offers a note and fails the test if the chain returns an error.
func mustOffer(chain *yuccastate.Chain, key string, raw []byte) yuccastate.Verdict {
	GinkgoHelper()
	verdict, err := chain.Offer(noon, key, raw)
	Expect(err).NotTo(HaveOccurred())
	return verdict
}

// chainWithNotes returns a chain with the first note of testdata, followed by the given
// number of notes that set the goodput weight to 2, 3, 4 and so on.
func chainWithNotes(more int) *yuccastate.Chain {
	GinkgoHelper()
	chain := yuccastate.NewChain()
	key, raw := nextPublished(chain.State(), string(readTestdata("first.yaml")))
	mustOffer(chain, key, raw)
	for i := range more {
		key, raw := nextPublished(chain.State(), weightNote(i+2))
		mustOffer(chain, key, raw)
	}
	return chain
}

// weightNote returns a note that sets the goodput weight.
func weightNote(weight int) string {
	return fmt.Sprintf("changed: {policy: {goodputWeight: %d}}", weight)
}

var _ = Describe("a chain", func() {
	It("accepts a note once and records it in the audit trail", func() {
		chain := yuccastate.NewChain()
		before := chain.Digest()
		key, raw := nextPublished(chain.State(), string(readTestdata("first.yaml")))
		Expect(mustOffer(chain, key, raw).Entries).To(ConsistOf(yuccastate.Entry{
			At: noon, Kind: yuccastate.EntryAccepted, By: "anna", Number: 1, Before: before, After: chain.Digest(),
		}))
		Expect(mustOffer(chain, key, raw)).To(Equal(yuccastate.Verdict{Kind: yuccastate.VerdictRepeated, Number: 1}))
		commented := append([]byte("# reviewed\n"), raw...)
		Expect(mustOffer(chain, key, commented).Kind).To(Equal(yuccastate.VerdictRepeated), "a comment does not change the content")
	})

	It("holds notes that arrive before their predecessor and accepts them after it", func() {
		// Pages from the platform's service and answers from peers may arrive in any
		// order. A later note that is dropped would be missing until the next fetch.
		source, chain := chainWithNotes(3), yuccastate.NewChain()
		for _, number := range []yuccaid.ConfigNumber{3, 2, 4} {
			raw, _ := source.Note(number)
			Expect(mustOffer(chain, yuccastate.NoteKey(number), raw).Kind).To(Equal(yuccastate.VerdictHeld))
		}
		Expect(chain.Missing()).To(Equal([]yuccaid.ConfigNumber{1}))
		Expect(chain.PlanFetch(5).Notes).To(Equal([]yuccaid.ConfigNumber{1, 5}))
		raw, _ := source.Note(1)
		Expect(mustOffer(chain, yuccastate.NoteKey(1), raw).Entries).To(HaveLen(4))
		Expect(chain.Digest()).To(Equal(source.Digest()))
		Expect(chain.Missing()).To(BeEmpty())
	})

	It("holds and requests a bounded number of notes, those with the lowest numbers", func() {
		// Notes with numbers that are far too high must not displace the notes that are
		// applied next.
		source, chain := chainWithNotes(2), yuccastate.NewChain()
		for number := yuccaid.ConfigNumber(1_000_000); number < 1_000_200; number++ {
			mustOffer(chain, yuccastate.NoteKey(number), []byte("by: nobody"))
		}
		Expect(chain.Held()).To(Equal(64))
		for _, number := range []yuccaid.ConfigNumber{3, 2, 1} {
			raw, _ := source.Note(number)
			mustOffer(chain, yuccastate.NoteKey(number), raw)
		}
		Expect(chain.Number()).To(Equal(yuccaid.ConfigNumber(3)))
		Expect(len(chain.Missing())).To(BeNumerically("<=", 64))
		Expect(chain.PlanFetch(chain.Number() + 1000)).To(Equal(yuccastate.FetchPlan{Snapshot: true}))
		Expect(chain.PlanFetch(chain.Number())).To(Equal(yuccastate.FetchPlan{}))
	})

	It("raises an alarm once when the content of an accepted key changes", func() {
		// An operator overwrites a key instead of adding a note. Daemons that start
		// afterwards would run another configuration under the same number.
		chain := chainWithNotes(1)
		before := chain.Digest()
		for _, raw := range []string{"number: 2\nby: mallory\n", "by: mallory\nnot: a note"} {
			verdict, err := chain.Offer(noon, yuccastate.NoteKey(2), []byte(raw))
			Expect(err).To(MatchError(yuccastate.ErrContentChanged))
			Expect(verdict.Kind).To(Equal(yuccastate.VerdictAlarm))
			Expect(verdict.Entries).To(HaveExactElements(HaveField("Kind", yuccastate.EntryAlarm)))
			Expect(verdict.Entries[0].By).To(Equal("mallory"))
			repeated, err := chain.Offer(noon, yuccastate.NoteKey(2), []byte(raw))
			Expect(err).To(MatchError(yuccastate.ErrContentChanged))
			Expect(repeated.Entries).To(BeEmpty(), "recorded already")
		}
		Expect(chain.Digest()).To(Equal(before))
	})

	It("refuses the second of two notes with one base, and records it once", func() {
		// Two operators read configuration 1 and publish their notes under the keys 2 and
		// 3. If both notes were accepted, the result would be a configuration that neither
		// of them has seen.
		chain := chainWithNotes(0)
		_, secondText := nextPublished(chain.State(), weightNote(9))
		key, firstText := nextPublished(chain.State(), weightNote(2))
		mustOffer(chain, key, firstText)
		secondAsNote3 := []byte(strings.Replace(string(secondText), "number: 2", "number: 3", 1))
		verdict, err := chain.Offer(noon, yuccastate.NoteKey(3), secondAsNote3)
		Expect(err).To(MatchError(yuccastate.ErrBase))
		Expect(verdict.Entries).To(HaveLen(1))
		Expect(verdict.Entries[0].Reason).To(Equal("wrong base"))
		Expect(verdict.Entries[0].By).To(Equal("anna"))
		Expect(verdict.Entries[0].After).To(Equal(verdict.Entries[0].Before))
		Expect(chain.PlanFetch(3).Snapshot).To(BeFalse(), "a note that all daemons refuse needs no snapshot")
		verdict, _ = chain.Offer(noon, yuccastate.NoteKey(3), secondAsNote3)
		Expect(verdict.Entries).To(BeEmpty())
		key, corrected := nextPublished(chain.State(), weightNote(9))
		Expect(mustOffer(chain, key, corrected).Kind).To(Equal(yuccastate.VerdictAccepted), "under the same key")
	})

	DescribeTable("refuses what is published under a wrong key",
		func(key string, number yuccaid.ConfigNumber) {
			chain := chainWithNotes(0)
			_, raw := nextPublished(chain.State(), weightNote(2))
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

	It("drops the texts of old notes and later their digests", func() {
		// If all notes were kept, the memory of a daemon that runs for years would grow
		// with every note.
		chain := chainWithNotes(5000)
		_, kept := chain.Note(5001)
		Expect(kept).To(BeTrue())
		_, kept = chain.Note(4900)
		Expect(kept).To(BeFalse())
		verdict, err := chain.Offer(noon, yuccastate.NoteKey(4900), []byte("by: other"))
		Expect(verdict.Kind).To(Equal(yuccastate.VerdictAlarm))
		Expect(err).To(HaveOccurred())
		Expect(mustOffer(chain, yuccastate.NoteKey(10), []byte("by: other")).Kind).To(Equal(yuccastate.VerdictOld))
	})
})

var _ = Describe("two chains", func() {
	It("keep different contents of one number, raise alarms, and converge with the next note", func() {
		// An operator overwrites note 2 while two data centres are disconnected. One
		// data centre has accepted the first content, the other reads the second
		// content only. Neither data centre may replace the content that it accepted.
		east, west := chainWithNotes(0), chainWithNotes(0)
		key, first := nextPublished(east.State(), weightNote(2))
		_, second := nextPublished(east.State(), weightNote(9))
		mustOffer(east, key, first)
		mustOffer(west, key, second)
		kept := west.Digest()
		for range 2 {
			relation, entries := west.ComparePeer(noon, "east-1", east.Number(), east.Digest())
			Expect(relation).To(Equal(yuccastate.RelationForked))
			Expect(len(entries)).To(BeNumerically("<=", 1))
		}
		_, entries := east.ComparePeer(noon, "west-1", west.Number(), west.Digest())
		Expect(entries).To(HaveExactElements(HaveField("Kind", yuccastate.EntryAlarm)))
		verdict, err := west.Adopt(noon, "east-1", east.State(), east.Digest())
		Expect(err).To(MatchError(yuccastate.ErrForked))
		Expect(verdict.Kind).To(Equal(yuccastate.VerdictAlarm))
		Expect(west.Digest()).To(Equal(kept))

		key, third := nextPublished(east.State(), weightNote(5))
		mustOffer(east, key, third)
		relation, _ := east.ComparePeer(noon, "west-1", west.Number(), west.Digest())
		Expect(relation).To(Equal(yuccastate.RelationForked), "also while the peer is at a lower number")
		Expect(west.PlanFetch(3)).To(Equal(yuccastate.FetchPlan{Notes: []yuccaid.ConfigNumber{3}}))
		_, err = west.Offer(noon, key, third)
		Expect(err).To(MatchError(yuccastate.ErrBase))
		Expect(west.PlanFetch(3)).To(Equal(yuccastate.FetchPlan{Snapshot: true}))
		verdict, err = west.Adopt(noon, "east-1", east.State(), east.Digest())
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Entries).To(ConsistOf(yuccastate.Entry{
			At: noon, Kind: yuccastate.EntryAdopted, By: "east-1", Number: 3, Before: kept, After: east.Digest(),
		}))
		_, stillKept := west.Note(2)
		Expect(stillKept).To(BeFalse(), "the text of the abandoned branch is no longer sent to peers")
	})

	It("adopt a snapshot only if its number is higher and its digest is the announced one", func() {
		// A peer that was suspended offers an old configuration. A snapshot may also
		// hold another configuration than the heartbeat announced.
		old, chain := chainWithNotes(0), chainWithNotes(2)
		before := chain.Digest()
		_, err := chain.Adopt(noon, "peer", old.State(), old.Digest())
		Expect(err).To(MatchError(yuccastate.ErrNotHigher))
		verdict, err := chain.Adopt(noon, "peer", chain.State(), chain.Digest())
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Kind).To(Equal(yuccastate.VerdictRepeated))
		newer := chainWithNotes(3)
		_, err = chain.Adopt(noon, "peer", newer.State(), old.Digest())
		Expect(err).To(MatchError(yuccastate.ErrDigest))
		Expect(chain.Digest()).To(Equal(before))
		relation, _ := chain.ComparePeer(noon, "peer", newer.Number(), newer.Digest())
		Expect(relation).To(Equal(yuccastate.RelationLocalBehind))
		relation, _ = newer.ComparePeer(noon, "chain", chain.Number(), chain.Digest())
		Expect(relation).To(Equal(yuccastate.RelationLocalAhead))
		relation, _ = chain.ComparePeer(noon, "twin", chain.Number(), chain.Digest())
		Expect(relation).To(Equal(yuccastate.RelationSame))
	})

	It("apply held notes after a snapshot", func() {
		// If notes held from before the snapshot weren't applied after it, they would
		// be missing until the next fetch.
		source, chain := chainWithNotes(4), yuccastate.NewChain()
		raw, _ := source.Note(5)
		mustOffer(chain, yuccastate.NoteKey(5), raw)
		verdict, err := chain.Adopt(noon, "baseline", chainWithNotes(3).State(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Entries).To(HaveExactElements(HaveField("Kind", yuccastate.EntryAdopted), HaveField("Kind", yuccastate.EntryAccepted)))
		Expect(chain.Digest()).To(Equal(source.Digest()))
	})
})
