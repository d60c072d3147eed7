package yuccaregion

import (
	"encoding/json"
	"slices"
	"strings"

	"yuccacleat/core/yuccaid"
)

// separator stands between two names in Set.names. No name of a region contains it.
const separator = "\x00"

// Set is the regions in which something may be served. The zero value allows every region. Equal sets
// are equal values, so that a Set can be the key of a map.
type Set struct {
	// limited reports whether only the regions in names are allowed. These are sorted, and each is
	// followed by a separator.
	limited bool
	names   string
}

// Only returns the set that allows the given regions and no other one. Without any, it allows none.
func Only(regions ...yuccaid.Region) Set {
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	var names strings.Builder
	for _, region := range slices.Compact(sorted) {
		names.WriteString(string(region))
		names.WriteString(separator)
	}
	return Set{limited: true, names: names.String()}
}

// Limited reports whether the set doesn't allow every region.
func (set Set) Limited() bool { return set.limited }

// Empty reports whether the set allows no region at all.
func (set Set) Empty() bool { return set.limited && set.names == "" }

// Allows reports whether something may be served in a region. A region without a name, that of an
// unknown data centre, is allowed only if every region is.
func (set Set) Allows(region yuccaid.Region) bool {
	if !set.limited {
		return true
	}
	for rest := set.names; rest != ""; {
		name, after, _ := strings.Cut(rest, separator)
		if name == string(region) && region != "" {
			return true
		}
		rest = after
	}
	return false
}

// Intersect returns the set of the regions that both sets allow, which may allow none.
func (set Set) Intersect(other Set) Set {
	switch {
	case !set.limited:
		return other
	case !other.limited || set == other:
		return set
	}
	return Only(slices.DeleteFunc(set.Regions(), func(region yuccaid.Region) bool { return !other.Allows(region) })...)
}

// Regions returns the allowed regions in the order of their names. The result is nil if the set allows
// every region or none.
func (set Set) Regions() []yuccaid.Region {
	var list []yuccaid.Region
	for name := range strings.SplitSeq(strings.TrimSuffix(set.names, separator), separator) {
		if name != "" {
			list = append(list, yuccaid.Region(name))
		}
	}
	return list
}

// String returns the names of the allowed regions, "any" or "none", for logs.
func (set Set) String() string {
	switch {
	case !set.limited:
		return "any"
	case set.names == "":
		return "none"
	}
	return strings.ReplaceAll(strings.TrimSuffix(set.names, separator), separator, ", ")
}

// MarshalJSON returns the list of the allowed regions, and null if every region is allowed.
func (set Set) MarshalJSON() ([]byte, error) {
	if !set.limited {
		return []byte("null"), nil
	}
	return json.Marshal(append([]yuccaid.Region{}, set.Regions()...))
}

// UnmarshalJSON parses the result of MarshalJSON.
func (set *Set) UnmarshalJSON(raw []byte) error {
	var regions *[]yuccaid.Region
	if err := json.Unmarshal(raw, &regions); err != nil {
		return err
	}
	*set = Set{}
	if regions != nil {
		*set = Only(*regions...)
	}
	return nil
}
