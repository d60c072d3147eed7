package yuccastate

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"yuccacleat/core/yuccastate/yuccayaml"
)

// Diff returns the differences from a to b, one object or field a line, in a stable
// order: "+" for objects only in b, "-" for objects only in a, "~" for changed ones.
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
		if _, alsoInA := a[name]; !alsoInA {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		before, inA := a[name]
		after, inB := b[name]
		switch {
		case !inA:
			fmt.Fprintf(text, "+ %s.%s: %s\n", kind, name, objectLine(after))
		case !inB:
			fmt.Fprintf(text, "- %s.%s\n", kind, name)
		case string(canonical(before)) != string(canonical(after)):
			fmt.Fprintf(text, "~ %s.%s\n", kind, name)
			diffFields(text, before, after)
		}
	}
}

func diffFields(text *strings.Builder, before, after any) {
	fieldsBefore, fieldsAfter := yuccayaml.Fields(before), yuccayaml.Fields(after)
	keys := []string{}
	for _, field := range slices.Concat(fieldsBefore, fieldsAfter) {
		keys = append(keys, field.Key)
	}
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		if from, to := valueOrNone(fieldsBefore, key), valueOrNone(fieldsAfter, key); from != to {
			fmt.Fprintf(text, "    %s: %s -> %s\n", key, from, to)
		}
	}
}

// valueOrNone returns the value of the field with the key, or "none" if fields has no
// such field.
func valueOrNone(fields []yuccayaml.Field, key string) string {
	for _, field := range fields {
		if field.Key == key {
			return field.Value
		}
	}
	return "none"
}

// objectLine returns an object's fields on one line.
func objectLine(object any) string {
	var texts []string
	for _, field := range yuccayaml.Fields(object) {
		texts = append(texts, field.Key+": "+field.Value)
	}
	return strings.Join(texts, ", ")
}
