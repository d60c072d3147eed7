package yuccaroute

import "sync/atomic"

// Holder keeps the table with the highest number that a daemon has been offered. The zero value
// holds no table.
//
// The tables come from several sources: the platform, which may serve an old copy, and peers, which
// may offer an old table after a pause of their process. A table with a lower number could restore
// a route that has been withdrawn, or an account's key. So a Holder rejects such a table, and also
// a table with the same number. Load may be called concurrently
// with one caller of Offer.
type Holder struct {
	table atomic.Pointer[Table]
}

// Load returns the current table, or nil if there is none yet.
func (holder *Holder) Load() *Table { return holder.table.Load() }

// Offer makes a table current if its number is higher than that of the present one, and reports
// whether it did.
func (holder *Holder) Offer(table *Table) bool {
	if held := holder.table.Load(); held != nil && table.number <= held.number {
		return false
	}
	holder.table.Store(table)
	return true
}
