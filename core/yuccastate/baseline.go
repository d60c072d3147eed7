package yuccastate

import (
	"cmp"
	"fmt"
	"slices"

	"yuccacleat/core/yuccaid"
)

// partOverhead is the space in bytes that is reserved in a part for all fields except
// the records.
const partOverhead yuccaid.Bytes = 512

// Part is one part of a baseline, a whole configuration that is published on the platform.
// Each part is published under its own key.
type Part struct {
	Number yuccaid.ConfigNumber
	Index  int
	Value  []byte
}

// Key returns the key under which the part is published on the platform.
func (part Part) Key() string {
	return PartKey(part.Number, part.Index)
}

// EncodeBaseline encodes a configuration in parts of at most limit bytes each; the
// result is deterministic. A new process reads the parts instead of all notes. A
// baseline has several parts because the platform stores values of at most a megabyte,
// and a fleet's accounts and targets don't fit into one value. An object that is larger
// than the limit gets a part of its own, and this part exceeds the limit.
func EncodeBaseline(s *State, limit yuccaid.Bytes) []Part {
	groups := splitRecords(s.records(), limit-partOverhead)
	digest := s.Digest()
	parts := make([]Part, len(groups))
	for i, records := range groups {
		snap := snapshot{Form: snapshotVersion, Number: s.Number, Digest: digest, Index: i, Count: len(groups), Policy: s.Policy, Records: records}
		value, err := encode(snap)
		if err != nil {
			panic(fmt.Sprintf("yuccastate: %v", err))
		}
		parts[i] = Part{Number: s.Number, Index: i, Value: value}
	}
	return parts
}

// splitRecords splits records into consecutive groups of at most limit encoded bytes
// each; a record that is larger than the limit forms a group of its own.
func splitRecords(records []record, limit yuccaid.Bytes) [][]record {
	groups := [][]record{nil}
	groupSize := yuccaid.Bytes(0)
	for _, rec := range records {
		raw, err := encode(rec)
		if err != nil {
			panic(fmt.Sprintf("yuccastate: %v", err))
		}
		size := yuccaid.Bytes(len(raw))
		last := len(groups) - 1
		if groupSize+size > limit && len(groups[last]) > 0 {
			groups = append(groups, nil)
			last, groupSize = last+1, 0
		}
		groups[last] = append(groups[last], rec)
		groupSize += size
	}
	return groups
}

// JoinParts returns the configuration in the parts of one baseline, which may be in any
// order. It refuses parts that are missing, duplicated or of different baselines, and
// content that does not have the announced digest.
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
		return nil, newRefusal(0, ErrParts, "", "publish the baseline's parts", "there are no parts")
	}
	joined := snaps[0]
	joined.Records = nil
	for i, snap := range snaps {
		if err := joined.checkPart(snap, i, len(snaps)); err != nil {
			return nil, err
		}
		joined.Records = append(joined.Records, snap.Records...)
	}
	return joined.state()
}

// checkPart refuses a part that belongs to another baseline than snap, or whose index
// and number of parts are not the given index and count.
func (snap snapshot) checkPart(part snapshot, index, count int) error {
	if part.Number != snap.Number || part.Digest != snap.Digest {
		return newRefusal(part.Number, ErrParts, "", "publish all parts of one baseline", "part %d is of another baseline", part.Index)
	}
	if part.Index != index || part.Count != count {
		return newRefusal(part.Number, ErrParts, "", "wait for the missing parts or publish them", "has %d parts of %d, part %d is not among them once", count, part.Count, index)
	}
	return nil
}
