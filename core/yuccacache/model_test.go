package yuccacache_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccacache"
)

func TestYuccacache(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccacache")
}

// TestModelOracle compares a Model with a plain list in the order of last use.
func TestModelOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, maxEntries := int64(rapid.IntRange(0, 40).Draw(t, "limit")), rapid.IntRange(0, 6).Draw(t, "maxEntries")
		mod := yuccacache.New(limit, maxEntries)
		var list []yuccacache.Part // the least recently used part first
		size := func() (sum int64) {
			for _, part := range list {
				sum += part.Size
			}
			return sum
		}
		find := func(hash uint64) int {
			return slices.IndexFunc(list, func(part yuccacache.Part) bool { return part.Hash == hash })
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			part := yuccacache.Part{Hash: uint64(rapid.IntRange(1, 12).Draw(t, "hash")), Size: int64(rapid.IntRange(0, 15).Draw(t, "size"))}
			at := find(part.Hash)
			if rapid.IntRange(0, 4).Draw(t, "action") == 0 {
				if dropped := mod.Drop(part.Hash); dropped != (at >= 0) {
					t.Fatalf("drop of %d: %t", part.Hash, dropped)
				}
				if at >= 0 {
					list = slices.Delete(list, at, at+1)
				}
				continue
			}
			var evicted, wantEvicted []uint64
			added := mod.Touch(part.Hash, part.Size, func(hash uint64) { evicted = append(evicted, hash) })
			wantAdded := at < 0 && part.Size > 0 && part.Size <= limit
			if at >= 0 {
				part = list[at]
				list = append(slices.Delete(list, at, at+1), part)
			}
			if wantAdded {
				for size()+part.Size > limit || maxEntries > 0 && len(list) >= maxEntries {
					wantEvicted = append(wantEvicted, list[0].Hash)
					list = list[1:]
				}
				list = append(list, part)
			}
			if added != wantAdded || !slices.Equal(evicted, wantEvicted) || mod.Len() != len(list) || mod.Full(1) != (size()+1 > limit) {
				t.Fatalf("part %v: added %t, evicted %v, %d parts; want %t, %v, %v", part, added, evicted, mod.Len(), wantAdded, wantEvicted, list)
			}
		}
	})
}

var _ = Describe("an index of caches", func() {
	var idx yuccacache.Index[string]
	models := map[string]*yuccacache.Model{}
	// record records a prompt, its last part first.
	record := func(engine string, hashes ...uint64) {
		for _, hash := range slices.Backward(hashes) {
			idx.Touch(engine, models[engine], yuccacache.Part{Hash: hash, Size: 10})
		}
	}
	// held returns how many parts of a prompt each engine holds.
	held := func(hashes ...uint64) map[string]int {
		found := map[string]int{}
		idx.VisitHeld(len(hashes), func(at int) uint64 { return hashes[at] }, func(engine string, parts int) bool {
			_, known := found[engine]
			if !known {
				found[engine] = parts
			}
			return !known
		})
		return found
	}

	BeforeEach(func() {
		idx = yuccacache.NewIndex[string]()
		for _, engine := range []string{"a", "b"} {
			mod := yuccacache.New(40, 0)
			models[engine] = &mod
		}
	})

	It("finds how much of a prompt each engine holds", func() {
		record("a", 1, 2, 3)
		record("b", 1)
		Expect(held(1, 2, 3)).To(Equal(map[string]int{"a": 3, "b": 1}))
		Expect(held(1, 2, 9)).To(Equal(map[string]int{"a": 2, "b": 1}))
		Expect(held(9)).To(BeEmpty())
		Expect(held()).To(BeEmpty())
	})

	// A full cache evicts the last parts of the oldest prompt first, so what remains is the start of
	// a prompt, which can still be used.
	It("forgets what was evicted, the ends of prompts first", func() {
		record("a", 1, 2, 3)
		record("a", 1, 4, 5)
		Expect(held(1, 2, 3)).To(Equal(map[string]int{"a": 2}))
		Expect(held(1, 4, 5)).To(Equal(map[string]int{"a": 3}))
	})

	It("forgets an engine that was restarted", func() {
		record("a", 1, 2)
		record("b", 1)
		idx.Clear("a", models["a"])
		Expect(held(1, 2)).To(Equal(map[string]int{"b": 1}))
		Expect(idx.Drop("b", models["b"], 1)).To(BeTrue())
		Expect(idx.Drop("b", models["b"], 1)).To(BeFalse())
		Expect(idx.Holders(1)).To(BeEmpty())
	})
})
