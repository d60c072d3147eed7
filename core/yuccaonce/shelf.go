package yuccaonce

// chunkSize is the number of records in a chunk. Larger chunks waste more memory while
// they are partly filled; smaller chunks need more allocations.
const chunkSize = 256

// recordStore stores records by counter. Counters are assigned in order of issue, so
// the oldest record is always first. Expiry therefore reads only the expired records
// and the first record that has not expired. A lookup is an array access.
type recordStore struct {
	chunks []*[chunkSize]record
	first  uint64 // counter of the oldest record
	end    uint64 // counter after the newest record
}

func (store *recordStore) len() int {
	return int(store.end - store.first)
}

// add appends a record and returns its counter.
func (store *recordStore) add(rec record) uint64 {
	counter := store.end
	store.end++
	if counter%chunkSize == 0 {
		store.chunks = append(store.chunks, new([chunkSize]record))
	}
	*store.at(counter) = rec
	return counter
}

// find returns the record with the counter, or nil if it is not stored.
func (store *recordStore) find(counter uint64) *record {
	if counter < store.first || counter >= store.end {
		return nil
	}
	return store.at(counter)
}

// dropOldest removes the oldest record.
func (store *recordStore) dropOldest() {
	*store.at(store.first) = record{}
	store.first++
	if store.first%chunkSize == 0 {
		store.chunks[0] = nil
		store.chunks = store.chunks[1:]
	}
}

// at returns the record with the counter, which must be stored.
func (store *recordStore) at(counter uint64) *record {
	base := store.first / chunkSize
	return &store.chunks[counter/chunkSize-base][counter%chunkSize]
}
