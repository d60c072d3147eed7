package yuccaplat

import (
	"errors"
	"sync/atomic"
)

// Counts is what a reader has done so far.
type Counts struct {
	Watches, Gets, Lists uint64
	Failed, Limited      uint64
	Stale                uint64
	Entries              uint64
}

// Calls returns how many calls the service has counted.
func (counts Counts) Calls() uint64 {
	return counts.Watches + counts.Gets + counts.Lists
}

// Counts returns what the reader has done so far.
func (reader *Reader) Counts() Counts {
	counts := &reader.counts
	return Counts{
		Watches: counts.watches.Load(),
		Gets:    counts.gets.Load(),
		Lists:   counts.lists.Load(),
		Failed:  counts.failures.Load(),
		Limited: counts.limited.Load(),
		Stale:   counts.stale.Load(),
		Entries: counts.entries.Load(),
	}
}

type counters struct {
	watches, gets, lists, failures, limited, stale, entries atomic.Uint64
}

func (counts *counters) page(page Page) {
	counts.entries.Add(uint64(len(page.Entries)))
	if page.Stale {
		counts.stale.Add(1)
	}
}

func (counts *counters) failed(fault *Fault) {
	counts.failures.Add(1)
	if errors.Is(fault, ErrLimited) {
		counts.limited.Add(1)
	}
}
