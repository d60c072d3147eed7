package yuccastate

import (
	"fmt"
	"maps"
	"slices"

	"yuccacleat/core/yuccastate/yuccayaml"
)

// The sections of a note, by their keys.
const (
	sectionAdded     = "added"
	sectionChanged   = "changed"
	sectionWithdrawn = "withdrawn"
)

// Apply returns the configuration after the note, or a *Refusal as the error. The result
// depends on s and the note only, so all daemons that hold the same configuration accept
// the same notes, and refuse all other notes for the same reasons.
//
// If two operators write notes against the same configuration, the note that is applied
// first is accepted. The other note is refused, because its base is no longer the
// digest of the current configuration.
func (s *State) Apply(note Note) (*State, error) {
	if note.Number != s.Number+1 {
		remedy := fmt.Sprintf("number it %d", s.Number+1)
		return nil, note.locate(newRefusal(note.Number, ErrNumber, "number", remedy, "is %d after %d", note.Number, s.Number))
	}
	if base := s.Digest(); note.Base != base {
		remedy := fmt.Sprintf("read configuration %d again and write the note against %s", s.Number, base)
		return nil, note.locate(newRefusal(note.Number, ErrBase, "base", remedy, "is %q", note.Base))
	}
	next, problems := s.build(note)
	if !validAuthor(note.Author) {
		problems = append(problems, badValue("by", "say who publishes, in up to 100 printable characters", "is %q", note.Author))
	}
	if len(problems) > 0 {
		return nil, note.locate(&Refusal{Number: note.Number, Problems: problems})
	}
	return next, nil
}

// builder is the state of one call of Apply: the configuration under construction and
// the problems found.
type builder struct {
	note     Note
	before   *State
	next     *State
	problems yuccayaml.Problems
}

// build returns the configuration after the note, and the problems of the note apart from
// its number, base and author. If there are problems, the configuration is incomplete.
func (s *State) build(note Note) (*State, yuccayaml.Problems) {
	next := *s
	next.Number = note.Number
	bld := &builder{note: note, before: s, next: &next}
	add, change, withdrawn := note.Added, note.Changed, note.Withdrawn
	var touched touchedNames
	next.Centres, touched.centres = applyKind(bld, KindCentre, s.Centres, add.Centres, change.Centres, withdrawn.Centres, identity)
	next.Links, touched.links = applyKind(bld, KindLink, s.Links, add.Links, change.Links, withdrawn.Links, identity)
	next.Tiers, touched.tiers = applyKind(bld, KindTier, s.Tiers, add.Tiers, change.Tiers, withdrawn.Tiers, identity)
	next.Pools, touched.pools = applyKind(bld, KindPool, s.Pools, add.Pools, change.Pools, withdrawn.Pools, Pool.normalised)
	next.Targets, touched.targets = applyKind(bld, KindTarget, s.Targets, add.Targets, change.Targets, withdrawn.Targets, Target.normalised)
	next.Accounts, touched.accounts = applyKind(bld, KindAccount, s.Accounts, add.Accounts, change.Accounts, withdrawn.Accounts, Account.normalised)
	bld.applyPolicy()
	bld.checkValues()
	bld.checkUnique()
	bld.checkReferences()
	if len(bld.problems) == 0 {
		next.sums = sumTouched(s, &next, touched)
	}
	return &next, bld.problems
}

func identity[V any](object V) V { return object }

// applyKind applies a note's changes to the objects of one kind, and returns the new
// map and the names of the objects concerned. The old map is never written to. If the
// note does not mention the kind, the old map itself is returned.
func applyKind[K ~string, V any](bld *builder, kind Kind, old, added, changed map[K]V, withdrawn []K, normalise func(V) V) (map[K]V, []K) {
	if len(added)+len(changed)+len(withdrawn) == 0 {
		return old, nil
	}
	objects := make(map[K]V, len(old)+len(added))
	maps.Copy(objects, old)
	seen := map[K]bool{}
	checkName := func(section string, name K, mustExist bool) {
		key := objectKey(section, kind, string(name))
		_, exists := old[name]
		switch {
		case seen[name]:
			bld.report(yuccayaml.ErrTwice, key, "name it once in a note", "stands in the note already")
		case mustExist && !exists:
			bld.report(ErrAbsent, key, "leave it out or add it", "does not exist")
		case !mustExist && exists:
			bld.report(ErrDuplicate, key, "list it under changed", "exists already")
		}
		seen[name] = true
	}
	for _, name := range withdrawn {
		checkName(sectionWithdrawn, name, true)
		delete(objects, name)
	}
	for name, object := range added {
		checkName(sectionAdded, name, false)
		objects[name] = normalise(object)
	}
	for name, object := range changed {
		checkName(sectionChanged, name, true)
		objects[name] = normalise(object)
	}
	return objects, slices.Collect(maps.Keys(seen))
}

func (bld *builder) applyPolicy() {
	if bld.note.Added.Policy != nil {
		bld.report(ErrDuplicate, "added.policy", "list it under changed", "exists already")
	}
	if policy := bld.note.Changed.Policy; policy != nil {
		bld.next.Policy = *policy
	}
}

func (bld *builder) report(kind error, key, remedy, detail string, args ...any) {
	prob := &yuccayaml.Problem{Kind: kind, Key: key, Detail: fmt.Sprintf(detail, args...), Remedy: remedy}
	bld.problems = append(bld.problems, prob)
}

func badValue(key, remedy, detail string, args ...any) *yuccayaml.Problem {
	return &yuccayaml.Problem{Kind: yuccayaml.ErrValue, Key: key, Detail: fmt.Sprintf(detail, args...), Remedy: remedy}
}

// objectKey returns the dotted key of an object in a note, such as "added.pools.drafts".
func objectKey(section string, kind Kind, name string) string {
	return section + "." + string(kind) + "." + name
}

// sectionOf returns the section of the note that holds the object, or "" if the object
// is neither added nor changed.
func sectionOf[K ~string, V any](added, changed map[K]V, name K) string {
	if _, found := added[name]; found {
		return sectionAdded
	}
	if _, found := changed[name]; found {
		return sectionChanged
	}
	return ""
}
