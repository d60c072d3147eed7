package yuccastate

import (
	"slices"

	"yuccacleat/core/yuccaid"
)

// checkReferences looks at what objects say of each other. A note that only adds
// can't break what stands, so only its own objects are looked at; one that changes
// or withdraws may, and everything is.
func (run *fold) checkReferences() {
	all := run.mayBreak()
	next, add, change := run.next, run.note.Added, run.note.Changed
	each(next.Links, add.Links, change.Links, all, run.checkLinkRegion)
	each(next.Targets, add.Targets, change.Targets, all, run.checkTargetNames)
	each(next.Accounts, add.Accounts, change.Accounts, all, run.checkAccountNames)
}

func (run *fold) mayBreak() bool {
	change, drop := run.note.Changed, run.note.Withdrawn
	changes := len(change.Centres) + len(change.Pools) + len(change.Targets)
	withdraws := len(drop.Centres) + len(drop.Tiers) + len(drop.Pools) + len(drop.Targets)
	return changes+withdraws > 0
}

// each calls check for the note's own objects or for all; key is the place in the
// note, or just the object if the note doesn't speak of it.
func each[K ~string, V any](objects, added, changed map[K]V, all bool, check func(key string, name K, object V)) {
	visit := func(section string, some map[K]V) {
		for name := range some {
			if object, exists := objects[name]; exists {
				check(section, name, object)
			}
		}
	}
	visit(sectionAdded, added)
	visit(sectionChanged, changed)
	if !all {
		return
	}
	for name, object := range objects {
		if section(added, changed, name) == "" {
			check("", name, object)
		}
	}
}

// user is an object that names others.
type user struct {
	section string
	kind    Kind
	name    string
}

func (use user) key() string {
	if use.section == "" {
		return string(use.kind) + "." + use.name
	}
	return path(use.section, use.kind, use.name)
}

// expectKnown reports a name without an object: at the withdrawal, if that is what
// took the object away, else at the object that uses the name.
func expectKnown[K ~string, V any](run *fold, use user, field string, kind Kind, name K, objects map[K]V, withdrawn []K) bool {
	if _, known := objects[name]; known {
		return true
	}
	if slices.Contains(withdrawn, name) {
		run.report(ErrInUse, path(sectionWithdrawn, kind, string(name)), "change or withdraw what uses it in the same note", "is used by %s of %s.%s", field, use.kind, use.name)
		return false
	}
	run.report(ErrReference, use.key()+"."+field, "add it to "+string(kind)+" or correct the name", "names %q, which does not exist", name)
	return false
}

func (run *fold) checkLinkRegion(section string, name yuccaid.Region, _ Link) {
	for _, centre := range run.next.Centres {
		if centre.Region == name {
			return
		}
	}
	use := user{section: section, kind: KindLink, name: string(name)}
	run.report(ErrReference, use.key(), "withdraw the link or keep a data centre in its region", "is of a region without data centres")
}

func (run *fold) checkTargetNames(section string, name yuccaid.Target, tgt Target) {
	use := user{section: section, kind: KindTarget, name: string(name)}
	expectKnown(run, use, "pool", KindPool, tgt.Pool, run.next.Pools, run.note.Withdrawn.Pools)
	expectKnown(run, use, "centre", KindCentre, tgt.Centre, run.next.Centres, run.note.Withdrawn.Centres)
	if section == "" && run.next.Pools[tgt.Pool].Kind == PoolModel && (tgt.Prefill == 0 || tgt.Decode == 0) {
		run.problems = append(run.problems, badValue(use.key(), "give the target its rates in the same note", "has no prefill or decode rate, which a model pool needs"))
	}
}

func (run *fold) checkAccountNames(section string, name yuccaid.Account, acc Account) {
	use := user{section: section, kind: KindAccount, name: string(name)}
	for _, tier := range acc.Tiers {
		expectKnown(run, use, "tiers", KindTier, tier, run.next.Tiers, run.note.Withdrawn.Tiers)
	}
	for _, pool := range acc.Pools {
		expectKnown(run, use, "pools", KindPool, pool, run.next.Pools, run.note.Withdrawn.Pools)
	}
	for _, tgt := range acc.Targets {
		known := expectKnown(run, use, "targets", KindTarget, tgt, run.next.Targets, run.note.Withdrawn.Targets)
		if pool := run.next.Targets[tgt].Pool; known && !slices.Contains(acc.Pools, pool) {
			run.report(ErrReference, use.key()+".targets", "add the pool to the account or leave the target out", "names %s of pool %q, which is not the account's", tgt, pool)
		}
	}
}
