package yuccastate_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

var _ = Describe("a snapshot", func() {
	It("decodes to the same state and encodes to the same bytes", func() {
		state := largeState()
		raw, err := yuccastate.EncodeState(state)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := yuccastate.DecodeState(raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(yuccastate.Diff(state, decoded)).To(BeEmpty())
		Expect(decoded.Digest()).To(Equal(state.Digest()))
		again, err := yuccastate.EncodeState(decoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(again, raw)).To(BeTrue())
	})

	It("is refused when a single byte differs", func() {
		// A damaged snapshot would put wrong addresses of all targets in force at once.
		// A snapshot of a few bytes that announces billions of map keys once exhausted
		// the memory of the process. The process ended, and all requests that it held
		// were lost.
		raw, err := yuccastate.EncodeState(founded())
		Expect(err).NotTo(HaveOccurred())
		// The MessagePack codes for a map, an array and bytes with a length of 32 bits.
		const map32, array32, bin32 = 0xdf, 0xdd, 0xc6
		for offset := range raw {
			for _, newByte := range []byte{raw[offset] ^ 1, map32, array32, bin32} {
				damaged := slices.Clone(raw)
				damaged[offset] = newByte
				decoded, err := yuccastate.DecodeState(damaged)
				if err == nil && decoded.Digest() != founded().Digest() || err != nil && yuccastate.Reason(err) == "" {
					Fail(fmt.Sprintf("byte %d as %x: %v", offset, newByte, err))
				}
			}
			_, err = yuccastate.DecodeState(raw[:offset])
			Expect(err).To(MatchError(yuccastate.ErrUndecodable))
		}
		_, err = yuccastate.DecodeState(append(raw, 0))
		Expect(err).To(MatchError(yuccastate.ErrUndecodable))
	})
})

var _ = Describe("a baseline", func() {
	It("of the largest fleet fits into the platform's values and joins in any order", func() {
		state := largeState()
		raw, err := yuccastate.EncodeState(state)
		Expect(err).NotTo(HaveOccurred())
		var parts []yuccastate.Part
		for _, limit := range []yuccaid.Bytes{1 << 20, yuccaid.Bytes(len(raw) / 5)} {
			parts = yuccastate.EncodeBaseline(state, limit)
			for i, part := range parts {
				Expect(yuccaid.Bytes(len(part.Value))).To(BeNumerically("<=", limit))
				number, index, err := yuccastate.ParsePartKey(part.Key())
				Expect(err).NotTo(HaveOccurred())
				Expect([]any{number, index}).To(Equal([]any{state.Number, i}))
			}
		}
		Expect(len(parts)).To(BeNumerically(">=", 5))
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		decoded, err := yuccastate.JoinParts(parts)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Digest()).To(Equal(state.Digest()))
	})

	// The parts of a baseline are published one by one. If JoinParts accepted an
	// incomplete set, a daemon that reads the parts before the last one is published
	// would start without half of the accounts.
	first, second := founded(), founded()
	second.Number, second.Policy.GoodputWeight = 2, 9
	parts := yuccastate.EncodeBaseline(first, 1000)
	other := yuccastate.EncodeBaseline(second, 1000)
	second.Number = first.Number
	fork := yuccastate.EncodeBaseline(second, 1000)
	garbled := slices.Clone(parts)
	garbled[0].Value = []byte("?")
	DescribeTable("is refused unless it is whole",
		func(parts []yuccastate.Part, want error) {
			_, err := yuccastate.JoinParts(parts)
			Expect(err).To(MatchError(want))
		},
		Entry("none", nil, yuccastate.ErrParts),
		Entry("first missing", parts[1:], yuccastate.ErrParts),
		Entry("last missing", parts[:len(parts)-1], yuccastate.ErrParts),
		Entry("one twice", append(slices.Clone(parts), parts[0]), yuccastate.ErrParts),
		Entry("one of another", append(slices.Clone(parts[:1]), other[1:]...), yuccastate.ErrParts),
		Entry("one of a fork", append(slices.Clone(parts[:1]), fork[1:]...), yuccastate.ErrParts),
		Entry("garbled", garbled, yuccastate.ErrUndecodable),
	)
})

var _ = Describe("a fold", func() {
	It("shares the maps that the note does not mention and never writes to the old state", func() {
		before := largeState()
		digest := before.Digest()
		after, err := before.Apply(nextNote(before, "withdrawn: {targets: [target-7]}"))
		Expect(err).NotTo(HaveOccurred())
		pointer := func(of any) uintptr { return reflect.ValueOf(of).Pointer() }
		Expect(pointer(after.Accounts)).To(Equal(pointer(before.Accounts)))
		Expect(pointer(after.Pools)).To(Equal(pointer(before.Pools)))
		Expect(pointer(after.Targets)).NotTo(Equal(pointer(before.Targets)))
		Expect(before.Targets).To(HaveKey(yuccaid.Target("target-7")))
		Expect(before.Digest()).To(Equal(digest))
	})
})

// FuzzDecodeState searches for bytes from a peer that make the decoder panic, and for
// accepted bytes whose state differs after being encoded and decoded again.
func FuzzDecodeState(f *testing.F) {
	raw, _ := yuccastate.EncodeState(founded())
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		state, err := yuccastate.DecodeState(raw)
		if err != nil {
			return
		}
		again, _ := yuccastate.EncodeState(state) // if this fails, again is empty and the next line returns an error
		decoded, err := yuccastate.DecodeState(again)
		if err != nil || decoded.Digest() != state.Digest() {
			t.Fatalf("%v: %s", err, yuccastate.Diff(state, decoded))
		}
	})
}
