package yuccastate

import (
	"slices"

	"yuccacleat/core/yuccaid"
)

// checkReferences checks the references between objects. A note that only adds objects
// can't break existing references, so only the note's own objects are checked. If the
// note changes or withdraws objects in a way that may break references of other
// objects, all objects are checked.
func (bld *builder) checkReferences() {
	all := bld.mayBreakReferences()
	next, add, change := bld.next, bld.note.Added, bld.note.Changed
	checkEach(next.Links, add.Links, change.Links, all, bld.checkLinkRegion)
	checkEach(next.Targets, add.Targets, change.Targets, all, bld.checkTargetReferences)
	checkEach(next.Accounts, add.Accounts, change.Accounts, all, bld.checkAccountReferences)
}

// mayBreakReferences reports whether the note could break references of objects that
// it does not mention.
func (bld *builder) mayBreakReferences() bool {
	change, withdrawn := bld.note.Changed, bld.note.Withdrawn
	changes := len(change.Centres) + len(change.Pools) + len(change.Targets)
	withdrawals := len(withdrawn.Centres) + len(withdrawn.Tiers) + len(withdrawn.Pools) + len(withdrawn.Targets)
	return changes+withdrawals > 0
}

// checkEach calls check for the objects that the note adds or changes and, if all is
// true, for all other objects too. The argument section of check is empty for an object
// that the note does not mention.
func checkEach[K ~string, V any](objects, added, changed map[K]V, all bool, check func(section string, name K, object V)) {
	visit := func(section string, objectsOfSection map[K]V) {
		for name := range objectsOfSection {
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
		if sectionOf(added, changed, name) == "" {
			check("", name, object)
		}
	}
}

// referrer is an object that refers to other objects. section is the section of the
// note that holds the referring object, or empty if the note does not mention this
// object.
type referrer struct {
	section string
	kind    Kind
	name    string
}

func (ref referrer) key() string {
	if ref.section == "" {
		return string(ref.kind) + "." + ref.name
	}
	return objectKey(ref.section, ref.kind, ref.name)
}

// expectKnown reports a reference to an object that does not exist. If the note
// withdraws the missing object, the problem is reported at the key of the withdrawal,
// and otherwise at the field of the referring object.
func expectKnown[K ~string, V any](bld *builder, ref referrer, field string, kind Kind, name K, objects map[K]V, withdrawn []K) bool {
	if _, known := objects[name]; known {
		return true
	}
	if slices.Contains(withdrawn, name) {
		bld.report(ErrInUse, objectKey(sectionWithdrawn, kind, string(name)), "change or withdraw what uses it in the same note", "is used by %s of %s.%s", field, ref.kind, ref.name)
		return false
	}
	bld.report(ErrReference, ref.key()+"."+field, "add it to "+string(kind)+" or correct the name", "names %q, which does not exist", name)
	return false
}

func (bld *builder) checkLinkRegion(section string, name yuccaid.Region, _ Link) {
	for _, centre := range bld.next.Centres {
		if centre.Region == name {
			return
		}
	}
	ref := referrer{section: section, kind: KindLink, name: string(name)}
	bld.report(ErrReference, ref.key(), "withdraw the link or keep a data centre in its region", "is of a region without data centres")
}

func (bld *builder) checkTargetReferences(section string, name yuccaid.Target, tgt Target) {
	ref := referrer{section: section, kind: KindTarget, name: string(name)}
	expectKnown(bld, ref, "pool", KindPool, tgt.Pool, bld.next.Pools, bld.note.Withdrawn.Pools)
	expectKnown(bld, ref, "centre", KindCentre, tgt.Centre, bld.next.Centres, bld.note.Withdrawn.Centres)
	if section == "" && bld.next.Pools[tgt.Pool].Kind == PoolModel && (tgt.Prefill == 0 || tgt.Decode == 0) {
		bld.problems = append(bld.problems, badValue(ref.key(), "give the target its rates in the same note", "has no prefill or decode rate, which a model pool needs"))
	}
}

func (bld *builder) checkAccountReferences(section string, name yuccaid.Account, acc Account) {
	ref := referrer{section: section, kind: KindAccount, name: string(name)}
	for _, tier := range acc.Tiers {
		expectKnown(bld, ref, "tiers", KindTier, tier, bld.next.Tiers, bld.note.Withdrawn.Tiers)
	}
	for _, pool := range acc.Pools {
		expectKnown(bld, ref, "pools", KindPool, pool, bld.next.Pools, bld.note.Withdrawn.Pools)
	}
	for _, tgt := range acc.Targets {
		known := expectKnown(bld, ref, "targets", KindTarget, tgt, bld.next.Targets, bld.note.Withdrawn.Targets)
		if pool := bld.next.Targets[tgt].Pool; known && !slices.Contains(acc.Pools, pool) {
			bld.report(ErrReference, ref.key()+".targets", "add the pool to the account or leave the target out", "names %s of pool %q, which is not the account's", tgt, pool)
		}
	}
}
