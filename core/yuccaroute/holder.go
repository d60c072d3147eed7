package yuccaroute

import "sync/atomic"

// Holder keeps the newest table that a daemon was offered. Its zero value holds none.
//
// Several sources offer: the platform's service, which may serve an old copy, and peers,
// which may have been paused. Taking a lower number would bring back a withdrawn route or
// key, so a Holder never goes back. Reading is safe beside one writer.
type Holder struct {
	table atomic.Pointer[Table]
}

// Load returns the table in force, or nil as long as none is known.
func (hold *Holder) Load() *Table { return hold.table.Load() }

// Offer puts a table in force if its number is higher, and reports whether it did.
func (hold *Holder) Offer(table *Table) bool {
	if held := hold.table.Load(); held != nil && table.number <= held.number {
		return false
	}
	hold.table.Store(table)
	return true
}
