package yuccastate

import (
	"fmt"
	"maps"
	"slices"

	"yuccacleat/core/yuccastate/yuccayaml"
)

const (
	sectionAdded     = "added"
	sectionChanged   = "changed"
	sectionWithdrawn = "withdrawn"
)

// Apply returns the configuration after the note, or a Refusal. It depends on nothing
// but its two arguments, so every daemon that holds the same configuration accepts
// the same notes and refuses the others for the same reasons.
//
// The base is what settles a race of two operators: both wrote against the same
// configuration, and once one's note is accepted, the other's base is gone.
func (s *State) Apply(note Note) (*State, error) {
	if note.Number != s.Number+1 {
		remedy := fmt.Sprintf("number it %d", s.Number+1)
		return nil, note.locate(refuse(note.Number, ErrNumber, "number", remedy, "is %d after %d", note.Number, s.Number))
	}
	if base := s.Digest(); note.Base != base {
		remedy := fmt.Sprintf("read configuration %d again and write the note against %s", s.Number, base)
		return nil, note.locate(refuse(note.Number, ErrBase, "base", remedy, "is %q", note.Base))
	}
	next, problems := s.fold(note)
	if !validBy(note.Author) {
		problems = append(problems, badValue("by", "say who publishes, in up to 100 printable characters", "is %q", note.Author))
	}
	if len(problems) > 0 {
		return nil, note.locate(&Refusal{Number: note.Number, Problems: problems})
	}
	return next, nil
}

// fold is one run of Apply: the configuration under construction and what is wrong
// with it.
type fold struct {
	note     Note
	before   *State
	next     *State
	problems yuccayaml.Problems
}

func (s *State) fold(note Note) (*State, yuccayaml.Problems) {
	next := *s
	next.Number = note.Number
	run := &fold{note: note, before: s, next: &next}
	add, change, drop := note.Added, note.Changed, note.Withdrawn
	var touched touched
	next.Centres, touched.centres = foldKind(run, KindCentre, s.Centres, add.Centres, change.Centres, drop.Centres, same)
	next.Links, touched.links = foldKind(run, KindLink, s.Links, add.Links, change.Links, drop.Links, same)
	next.Tiers, touched.tiers = foldKind(run, KindTier, s.Tiers, add.Tiers, change.Tiers, drop.Tiers, same)
	next.Pools, touched.pools = foldKind(run, KindPool, s.Pools, add.Pools, change.Pools, drop.Pools, Pool.clean)
	next.Targets, touched.targets = foldKind(run, KindTarget, s.Targets, add.Targets, change.Targets, drop.Targets, Target.clean)
	next.Accounts, touched.accounts = foldKind(run, KindAccount, s.Accounts, add.Accounts, change.Accounts, drop.Accounts, Account.clean)
	run.policy()
	run.checkValues()
	run.checkUnique()
	run.checkReferences()
	if len(run.problems) == 0 {
		next.sums = sumTouched(s, &next, touched)
	}
	return &next, run.problems
}

func same[V any](object V) V { return object }

// foldKind applies what a note says about one kind. The old map is never written; it
// is shared when the note says nothing about the kind.
func foldKind[K ~string, V any](run *fold, kind Kind, old, added, changed map[K]V, withdrawn []K, clean func(V) V) (map[K]V, []K) {
	if len(added)+len(changed)+len(withdrawn) == 0 {
		return old, nil
	}
	objects := make(map[K]V, len(old)+len(added))
	maps.Copy(objects, old)
	seen := map[K]bool{}
	touch := func(section string, name K, must bool) {
		key := path(section, kind, string(name))
		_, exists := old[name]
		switch {
		case seen[name]:
			run.report(yuccayaml.ErrTwice, key, "name it once in a note", "stands in the note already")
		case must && !exists:
			run.report(ErrAbsent, key, "leave it out or add it", "does not exist")
		case !must && exists:
			run.report(ErrDuplicate, key, "list it under changed", "exists already")
		}
		seen[name] = true
	}
	for _, name := range withdrawn {
		touch(sectionWithdrawn, name, true)
		delete(objects, name)
	}
	for name, object := range added {
		touch(sectionAdded, name, false)
		objects[name] = clean(object)
	}
	for name, object := range changed {
		touch(sectionChanged, name, true)
		objects[name] = clean(object)
	}
	return objects, slices.Collect(maps.Keys(seen))
}

func (run *fold) policy() {
	if run.note.Added.Policy != nil {
		run.report(ErrDuplicate, "added.policy", "list it under changed", "exists already")
	}
	if policy := run.note.Changed.Policy; policy != nil {
		run.next.Policy = *policy
	}
}

func (run *fold) report(kind error, key, remedy, detail string, args ...any) {
	prob := &yuccayaml.Problem{Kind: kind, Key: key, Detail: fmt.Sprintf(detail, args...), Remedy: remedy}
	run.problems = append(run.problems, prob)
}

func badValue(key, remedy, detail string, args ...any) *yuccayaml.Problem {
	return &yuccayaml.Problem{Kind: yuccayaml.ErrValue, Key: key, Detail: fmt.Sprintf(detail, args...), Remedy: remedy}
}

func path(section string, kind Kind, name string) string {
	return section + "." + string(kind) + "." + name
}

// section returns where the note speaks of the object, or "" if it doesn't.
func section[K ~string, V any](added, changed map[K]V, name K) string {
	if _, found := added[name]; found {
		return sectionAdded
	}
	if _, found := changed[name]; found {
		return sectionChanged
	}
	return ""
}
