package yuccastate_test

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

// drawNote returns a note with one to three edits to a small configuration; many of the
// notes are invalid.
func drawNote(t *rapid.T, current *yuccastate.State) yuccastate.Note {
	note := yuccastate.Note{Number: current.Number + 1, Base: current.Digest(), Author: rapid.SampledFrom([]string{"anna", "bruno"}).Draw(t, "by")}
	note.Added.Pools, note.Changed.Pools = map[yuccaid.Pool]yuccastate.Pool{}, map[yuccaid.Pool]yuccastate.Pool{}
	note.Added.Targets, note.Changed.Targets = map[yuccaid.Target]yuccastate.Target{}, map[yuccaid.Target]yuccastate.Target{}
	note.Added.Accounts, note.Changed.Accounts = map[yuccaid.Account]yuccastate.Account{}, map[yuccaid.Account]yuccastate.Account{}
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		switch rapid.SampledFrom([]string{"pool", "target", "target", "account"}).Draw(t, "kind") {
		case "pool":
			drawEdit(t, "pool", current.Pools, drawPool(t), note.Added.Pools, note.Changed.Pools, &note.Withdrawn.Pools)
		case "target":
			drawEdit(t, "target", current.Targets, drawTarget(t), note.Added.Targets, note.Changed.Targets, &note.Withdrawn.Targets)
		case "account":
			drawEdit(t, "account", current.Accounts, drawAccount(t), note.Added.Accounts, note.Changed.Accounts, &note.Withdrawn.Accounts)
		}
	}
	return note
}

// drawEdit adds to a note an edit of an object with a drawn name: it adds an object
// that does not exist, or changes or withdraws an object that exists. In one of ten
// cases it adds an object that exists, or changes or withdraws an object that does not
// exist; Apply must refuse these edits.
func drawEdit[K ~string, V any](t *rapid.T, kind string, old map[K]V, object V, added, changed map[K]V, withdrawn *[]K) {
	name := drawNames[K](t, kind, 1)[0]
	_, exists := old[name]
	mistake := rapid.IntRange(0, 9).Draw(t, "wrong") == 9
	switch {
	case exists == mistake:
		added[name] = object
	case rapid.Bool().Draw(t, "change"):
		changed[name] = object
	default:
		*withdrawn = append(*withdrawn, name)
	}
}

// drawNames returns minCount to 2 distinct names out of three for a kind.
func drawNames[K ~string](t *rapid.T, kind string, minCount int) []K {
	indexes := rapid.SliceOfNDistinct(rapid.IntRange(0, 2), minCount, 2, rapid.ID[int]).Draw(t, kind)
	names := make([]K, len(indexes))
	for i, index := range indexes {
		names[i] = K(fmt.Sprint(kind, "-", index))
	}
	return names
}

func drawPool(t *rapid.T) yuccastate.Pool {
	kind := rapid.SampledFrom([]yuccastate.PoolKind{yuccastate.PoolModel, yuccastate.PoolService}).Draw(t, "poolKind")
	return yuccastate.Pool{Kind: kind, Operations: yuccastate.Operations{"run": {}}, LongestRun: 1}
}

func drawTarget(t *rapid.T) yuccastate.Target {
	pool := drawNames[yuccaid.Pool](t, "pool", 1)[0]
	address := fmt.Sprint("10.9.9.9:", rapid.IntRange(1, 4).Draw(t, "port"))
	prefill := yuccaid.TokenRate(rapid.IntRange(0, 2).Draw(t, "prefill"))
	return yuccastate.Target{Pool: pool, Centre: "east", Slots: 1, Address: address, Prefill: prefill, Decode: 1}
}

func drawAccount(t *rapid.T) yuccastate.Account {
	credential := yuccastate.CredentialDigest(fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "secret")))
	pools, targets := drawNames[yuccaid.Pool](t, "pool", 1), drawNames[yuccaid.Target](t, "target", 0)
	return yuccastate.Account{Credential: credential, Tiers: []yuccaid.Tier{"urgent"}, Weight: 1, Pools: pools, Targets: targets}
}

// oracle reports whether Apply should accept a note from drawNote. It is a simple
// reference implementation, which edits copies of the maps and checks all objects.
func oracle(s *yuccastate.State, note yuccastate.Note) bool {
	ok := true
	pools := applyEdits(s.Pools, note.Added.Pools, note.Changed.Pools, note.Withdrawn.Pools, &ok)
	targets := applyEdits(s.Targets, note.Added.Targets, note.Changed.Targets, note.Withdrawn.Targets, &ok)
	accounts := applyEdits(s.Accounts, note.Added.Accounts, note.Changed.Accounts, note.Withdrawn.Accounts, &ok)
	centres := applyEdits(s.Centres, note.Added.Centres, nil, nil, &ok)
	tiers := applyEdits(s.Tiers, note.Added.Tiers, nil, nil, &ok)
	addresses, credentials := map[string]bool{}, map[yuccaid.Digest]bool{}
	for _, tgt := range targets {
		pool, known := pools[tgt.Pool]
		_, centreKnown := centres[tgt.Centre]
		hasRates := tgt.Prefill > 0 && tgt.Decode > 0
		ok = ok && known && centreKnown && !addresses[tgt.Address] && (hasRates || pool.Kind != yuccastate.PoolModel)
		addresses[tgt.Address] = true
	}
	for _, acc := range accounts {
		ok = ok && !credentials[acc.Credential]
		credentials[acc.Credential] = true
		for _, tier := range acc.Tiers {
			_, known := tiers[tier]
			ok = ok && known
		}
		for _, pool := range acc.Pools {
			_, known := pools[pool]
			ok = ok && known
		}
		for _, name := range acc.Targets {
			tgt, known := targets[name]
			ok = ok && known && slices.Contains(acc.Pools, tgt.Pool)
		}
	}
	return ok
}

// applyEdits returns the objects after the edits, and sets ok to false if an edit adds
// an object that exists, if it changes or withdraws an object that does not exist, or
// if two edits name the same object.
func applyEdits[K ~string, V any](old, added, changed map[K]V, withdrawn []K, ok *bool) map[K]V {
	result, mentions := map[K]V{}, map[K]int{}
	maps.Copy(result, old)
	mention := func(name K, mustExist bool) {
		_, exists := old[name]
		mentions[name]++
		*ok = *ok && exists == mustExist && mentions[name] == 1
	}
	for _, name := range withdrawn {
		mention(name, true)
		delete(result, name)
	}
	for name, object := range added {
		mention(name, false)
		result[name] = object
	}
	for name, object := range changed {
		mention(name, true)
		result[name] = object
	}
	return result
}
