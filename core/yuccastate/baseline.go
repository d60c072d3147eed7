package yuccastate

import (
	"cmp"
	"fmt"
	"slices"

	"yuccacleat/core/yuccaid"
)

// headBytes is room in a part for what is not records.
const headBytes yuccaid.Bytes = 512

// Part is one piece of a baseline, to be published under its key.
type Part struct {
	Number yuccaid.ConfigNumber
	Index  int
	Value  []byte
}

// Key returns the platform's key of the part.
func (part Part) Key() string {
	return PartKey(part.Number, part.Index)
}

// Baseline writes a configuration in parts of at most limit bytes each, always the
// same ones. A new process reads them in place of the whole chain of notes. The
// platform's values hold a megabyte and a fleet's accounts and targets don't fit in
// one. A single object larger than the limit makes a larger part.
func Baseline(s *State, limit yuccaid.Bytes) []Part {
	groups := group(s.records(), limit-headBytes)
	digest := s.Digest()
	parts := make([]Part, len(groups))
	for i, records := range groups {
		snap := snapshot{Form: snapshotForm, Number: s.Number, Digest: digest, Index: i, Count: len(groups), Policy: s.Policy, Records: records}
		value, err := encode(snap)
		if err != nil {
			panic(fmt.Sprintf("yuccastate: %v", err))
		}
		parts[i] = Part{Number: s.Number, Index: i, Value: value}
	}
	return parts
}

// group cuts records into runs whose encoded size stays within room.
func group(records []record, room yuccaid.Bytes) [][]record {
	groups := [][]record{nil}
	used := yuccaid.Bytes(0)
	for _, rec := range records {
		raw, err := encode(rec)
		if err != nil {
			panic(fmt.Sprintf("yuccastate: %v", err))
		}
		size := yuccaid.Bytes(len(raw))
		last := len(groups) - 1
		if used+size > room && len(groups[last]) > 0 {
			groups = append(groups, nil)
			last, used = last+1, 0
		}
		groups[last] = append(groups[last], rec)
		used += size
	}
	return groups
}

// JoinParts puts the parts of one baseline together, in any order; it refuses parts
// that are missing, given twice, of different baselines or not of their digest.
func JoinParts(parts []Part) (*State, error) {
	snaps := make([]snapshot, len(parts))
	for i, part := range parts {
		snap, err := decodeSnapshot(part.Value)
		if err != nil {
			return nil, err
		}
		snaps[i] = snap
	}
	slices.SortFunc(snaps, func(a, b snapshot) int { return cmp.Compare(a.Index, b.Index) })
	if len(snaps) == 0 {
		return nil, refuse(0, ErrParts, "", "publish the baseline's parts", "there are no parts")
	}
	whole := snaps[0]
	whole.Records = nil
	for i, snap := range snaps {
		if err := whole.fits(snap, i, len(snaps)); err != nil {
			return nil, err
		}
		whole.Records = append(whole.Records, snap.Records...)
	}
	return whole.state()
}

func (snap snapshot) fits(part snapshot, index, count int) error {
	if part.Number != snap.Number || part.Digest != snap.Digest {
		return refuse(part.Number, ErrParts, "", "publish all parts of one baseline", "part %d is of another baseline", part.Index)
	}
	if part.Index != index || part.Count != count {
		return refuse(part.Number, ErrParts, "", "wait for the missing parts or publish them", "has %d parts of %d, part %d is not among them once", count, part.Count, index)
	}
	return nil
}
