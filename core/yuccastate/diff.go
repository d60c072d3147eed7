package yuccastate

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff lists what differs from a to b, one object or field a line, in a stable order:
// "+" what b adds, "-" what it lacks, "~" what it changes.
func Diff(a, b *State) string {
	var text strings.Builder
	if a.Number != b.Number {
		fmt.Fprintf(&text, "~ number %d -> %d\n", a.Number, b.Number)
	}
	diffKind(&text, KindCentre, a.Centres, b.Centres)
	diffKind(&text, KindLink, a.Links, b.Links)
	diffKind(&text, KindTier, a.Tiers, b.Tiers)
	diffKind(&text, KindPool, a.Pools, b.Pools)
	diffKind(&text, KindTarget, a.Targets, b.Targets)
	diffKind(&text, KindAccount, a.Accounts, b.Accounts)
	if a.Policy != b.Policy {
		fmt.Fprintf(&text, "~ %s\n", KindPolicy)
		diffFields(&text, a.Policy, b.Policy)
	}
	return text.String()
}

func diffKind[K ~string, V any](text *strings.Builder, kind Kind, a, b map[K]V) {
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		before, had := a[name]
		after, has := b[name]
		switch {
		case !had:
			fmt.Fprintf(text, "+ %s.%s %s\n", kind, name, canonical(after))
		case !has:
			fmt.Fprintf(text, "- %s.%s\n", kind, name)
		case string(canonical(before)) != string(canonical(after)):
			fmt.Fprintf(text, "~ %s.%s\n", kind, name)
			diffFields(text, before, after)
		}
	}
}

func diffFields(text *strings.Builder, before, after any) {
	was, is := fields(before), fields(after)
	names := slices.Collect(maps.Keys(was))
	for name := range is {
		if _, both := was[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if string(was[name]) != string(is[name]) {
			fmt.Fprintf(text, "    %s: %s -> %s\n", name, shown(was[name]), shown(is[name]))
		}
	}
}

func fields(object any) map[string]json.RawMessage {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(canonical(object), &all); err != nil {
		panic(fmt.Sprintf("yuccastate: %v", err))
	}
	return all
}

func shown(value json.RawMessage) string {
	if value == nil {
		return "(none)"
	}
	return string(value)
}
