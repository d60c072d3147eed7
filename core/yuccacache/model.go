package yuccacache

// entry is one part in a Model. newer and older are the positions of its neighbours in the order of
// last use, or noEntry.
type entry struct {
	hash         uint64
	size         int64
	newer, older int32
}

// noEntry stands for the position of an entry that doesn't exist.
const noEntry = -1

// Model is an estimate of the parts that one engine's cache holds. It holds as much as the cache and
// evicts the least recently used part first. It isn't safe for concurrent use.
type Model struct {
	limit      int64
	maxEntries int
	used       int64
	index      map[uint64]int32 // position in entries, by hash
	entries    []entry
	free       []int32 // unused positions in entries
	newest     int32   // position of the most recently used part, or noEntry
	oldest     int32   // position of the least recently used part, or noEntry
}

// New returns an empty model of a cache that holds parts up to the given total size. A positive
// maxEntries also bounds the number of parts.
func New(limit int64, maxEntries int) Model {
	return Model{limit: limit, maxEntries: maxEntries, index: make(map[uint64]int32), newest: noEntry, oldest: noEntry}
}

// Limit returns the total size that the cache holds.
func (mod *Model) Limit() int64 { return mod.limit }

// Len returns the number of parts that the model holds.
func (mod *Model) Len() int { return len(mod.index) }

// Full reports whether the parts that the model holds leave no space for one of the given size.
func (mod *Model) Full(size int64) bool { return mod.used+size > mod.limit }

// Holds reports whether the model holds a part.
func (mod *Model) Holds(hash uint64) bool {
	_, found := mod.index[hash]
	return found
}

// Hashes returns the parts that the model holds, in no particular order.
func (mod *Model) Hashes() []uint64 {
	hashes := make([]uint64, 0, len(mod.index))
	for hash := range mod.index {
		hashes = append(hashes, hash)
	}
	return hashes
}

// Touch makes a part the most recently used one, and adds it if it is absent. It calls evicted for
// each part that is evicted to make space, and reports whether the touched part was added. A part
// that is larger than the cache isn't added.
func (mod *Model) Touch(hash uint64, size int64, evicted func(hash uint64)) (added bool) {
	if at, found := mod.index[hash]; found {
		mod.unlink(at)
		mod.link(at)
		return false
	}
	if size > mod.limit || size <= 0 {
		return false
	}
	for mod.used+size > mod.limit || mod.maxEntries > 0 && len(mod.index) >= mod.maxEntries {
		oldest := mod.entries[mod.oldest].hash
		mod.Drop(oldest)
		evicted(oldest)
	}
	at := mod.allocate()
	mod.entries[at].hash, mod.entries[at].size = hash, size
	mod.index[hash] = at
	mod.used += size
	mod.link(at)
	return true
}

// Drop removes a part and reports whether the model held it.
func (mod *Model) Drop(hash uint64) bool {
	at, found := mod.index[hash]
	if !found {
		return false
	}
	mod.unlink(at)
	mod.used -= mod.entries[at].size
	delete(mod.index, hash)
	mod.free = append(mod.free, at)
	return true
}

// allocate returns an unused position in entries.
func (mod *Model) allocate() int32 {
	if last := len(mod.free) - 1; last >= 0 {
		at := mod.free[last]
		mod.free = mod.free[:last]
		return at
	}
	mod.entries = append(mod.entries, entry{})
	return int32(len(mod.entries) - 1)
}

// link makes the part at the position the most recently used one.
func (mod *Model) link(at int32) {
	mod.entries[at].newer, mod.entries[at].older = noEntry, mod.newest
	if mod.newest != noEntry {
		mod.entries[mod.newest].newer = at
	} else {
		mod.oldest = at
	}
	mod.newest = at
}

// unlink takes the part at the position out of the order of last use.
func (mod *Model) unlink(at int32) {
	removed := mod.entries[at]
	if removed.newer != noEntry {
		mod.entries[removed.newer].older = removed.older
	} else {
		mod.newest = removed.older
	}
	if removed.older != noEntry {
		mod.entries[removed.older].newer = removed.newer
	} else {
		mod.oldest = removed.newer
	}
}
