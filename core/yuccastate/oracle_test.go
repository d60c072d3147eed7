package yuccastate_test

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

// drawNote returns a note of a few edits to a small world, many of them wrong.
func drawNote(t *rapid.T, on *yuccastate.State) yuccastate.Note {
	note := yuccastate.Note{Number: on.Number + 1, Base: on.Digest(), By: rapid.SampledFrom([]string{"anna", "bruno"}).Draw(t, "by")}
	note.Added.Pools, note.Changed.Pools = map[yuccaid.Pool]yuccastate.Pool{}, map[yuccaid.Pool]yuccastate.Pool{}
	note.Added.Targets, note.Changed.Targets = map[yuccaid.Target]yuccastate.Target{}, map[yuccaid.Target]yuccastate.Target{}
	note.Added.Accounts, note.Changed.Accounts = map[yuccaid.Account]yuccastate.Account{}, map[yuccaid.Account]yuccastate.Account{}
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		section := rapid.SampledFrom([]string{"add", "add", "change", "drop"}).Draw(t, "section")
		switch rapid.SampledFrom([]string{"pool", "target", "target", "account"}).Draw(t, "kind") {
		case "pool":
			edit(section, drawNames[yuccaid.Pool](t, "pool", 1)[0], drawPool(t), note.Added.Pools, note.Changed.Pools, &note.Withdrawn.Pools)
		case "target":
			edit(section, drawNames[yuccaid.Target](t, "target", 1)[0], drawTarget(t), note.Added.Targets, note.Changed.Targets, &note.Withdrawn.Targets)
		case "account":
			edit(section, drawNames[yuccaid.Account](t, "account", 1)[0], drawAccount(t), note.Added.Accounts, note.Changed.Accounts, &note.Withdrawn.Accounts)
		}
	}
	return note
}

func edit[K ~string, V any](section string, name K, object V, added, changed map[K]V, dropped *[]K) {
	switch section {
	case "add":
		added[name] = object
	case "change":
		changed[name] = object
	default:
		*dropped = append(*dropped, name)
	}
}

func drawNames[K ~string](t *rapid.T, kind string, least int) []K {
	indexes := rapid.SliceOfNDistinct(rapid.IntRange(0, 2), least, 2, rapid.ID[int]).Draw(t, kind)
	names := make([]K, len(indexes))
	for i, index := range indexes {
		names[i] = K(fmt.Sprint(kind, "-", index))
	}
	return names
}

func drawPool(t *rapid.T) yuccastate.Pool {
	return yuccastate.Pool{
		Kind:       rapid.SampledFrom([]yuccastate.PoolKind{yuccastate.PoolModel, yuccastate.PoolService}).Draw(t, "poolKind"),
		Operations: yuccastate.Operations{"run": {}}, LongestRun: 1,
	}
}

func drawTarget(t *rapid.T) yuccastate.Target {
	return yuccastate.Target{
		Pool: drawNames[yuccaid.Pool](t, "pool", 1)[0], Centre: "east", Slots: 1,
		Address: fmt.Sprint("10.9.9.9:", rapid.IntRange(1, 4).Draw(t, "port")),
		Prefill: yuccaid.Rate(rapid.IntRange(0, 2).Draw(t, "prefill")), Decode: 1,
	}
}

func drawAccount(t *rapid.T) yuccastate.Account {
	return yuccastate.Account{
		Credential: yuccastate.CredentialDigest(fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "secret"))),
		Tiers:      []yuccaid.Tier{"urgent"}, Weight: 1,
		Pools:   drawNames[yuccaid.Pool](t, "pool", 1),
		Targets: drawNames[yuccaid.Target](t, "target", 0),
	}
}

// oracle says in the plainest way whether a note of drawNote fits: it edits copies of
// the maps and looks at everything.
func oracle(s *yuccastate.State, note yuccastate.Note) bool {
	ok := true
	pools := plainly(s.Pools, note.Added.Pools, note.Changed.Pools, note.Withdrawn.Pools, &ok)
	targets := plainly(s.Targets, note.Added.Targets, note.Changed.Targets, note.Withdrawn.Targets, &ok)
	accounts := plainly(s.Accounts, note.Added.Accounts, note.Changed.Accounts, note.Withdrawn.Accounts, &ok)
	addresses, credentials := map[string]bool{}, map[yuccaid.Digest]bool{}
	for _, tgt := range targets {
		pool, known := pools[tgt.Pool]
		rated := tgt.Prefill > 0 && tgt.Decode > 0
		ok = ok && known && !addresses[tgt.Address] && (rated || pool.Kind != yuccastate.PoolModel)
		addresses[tgt.Address] = true
	}
	for _, acc := range accounts {
		ok = ok && !credentials[acc.Credential]
		credentials[acc.Credential] = true
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

func plainly[K ~string, V any](old, added, changed map[K]V, dropped []K, ok *bool) map[K]V {
	now := map[K]V{}
	maps.Copy(now, old)
	mentions := map[K]int{}
	for _, name := range dropped {
		_, exists := old[name]
		*ok = *ok && exists
		mentions[name]++
		delete(now, name)
	}
	for name, object := range added {
		_, exists := old[name]
		*ok = *ok && !exists
		mentions[name]++
		now[name] = object
	}
	for name, object := range changed {
		_, exists := old[name]
		*ok = *ok && exists
		mentions[name]++
		now[name] = object
	}
	for _, count := range mentions {
		*ok = *ok && count == 1
	}
	return now
}
