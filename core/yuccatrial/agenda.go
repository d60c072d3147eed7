package yuccatrial

import (
	"container/heap"
	"time"
)

// agenda holds what is to happen, in order of time and, at one instant, of entry.
type agenda struct {
	now     time.Time
	entries entries
	count   uint64
}

type entry struct {
	at    time.Time
	order uint64
	do    func()
}

func (agd *agenda) after(delay time.Duration, do func()) {
	agd.count++
	heap.Push(&agd.entries, entry{at: agd.now.Add(max(delay, 0)), order: agd.count, do: do})
}

func (agd *agenda) at(when time.Time, do func()) {
	agd.after(when.Sub(agd.now), do)
}

// run plays entries until the given time.
func (agd *agenda) run(until time.Time) {
	for len(agd.entries) > 0 && agd.entries[0].at.Before(until) {
		next := heap.Pop(&agd.entries).(entry)
		agd.now = next.at
		next.do()
	}
	agd.now = until
}

type entries []entry

// Len is part of heap.Interface.
func (ent entries) Len() int { return len(ent) }

// Less is part of heap.Interface.
func (ent entries) Less(i, j int) bool {
	if ent[i].at.Equal(ent[j].at) {
		return ent[i].order < ent[j].order
	}
	return ent[i].at.Before(ent[j].at)
}

// Swap is part of heap.Interface.
func (ent entries) Swap(i, j int) { ent[i], ent[j] = ent[j], ent[i] }

// Push is part of heap.Interface.
func (ent *entries) Push(x any) { *ent = append(*ent, x.(entry)) }

// Pop is part of heap.Interface.
func (ent *entries) Pop() any {
	last := len(*ent) - 1
	popped := (*ent)[last]
	(*ent)[last] = entry{}
	*ent = (*ent)[:last]
	return popped
}
