package yuccaonce

// chunkSize trades the memory of a half-filled chunk against the count of chunks.
const chunkSize = 256

// shelf holds records by counter. Counters are given out in order of issue, so the
// oldest is always first: expiry looks at what expires and at one record more, and
// finding a record is an index.
type shelf struct {
	chunks []*[chunkSize]record
	first  uint64 // counter of the oldest record
	end    uint64 // counter after the newest record
}

func (shf *shelf) len() int {
	return int(shf.end - shf.first)
}

// add appends a record and returns its counter.
func (shf *shelf) add(rec record) uint64 {
	counter := shf.end
	shf.end++
	if counter%chunkSize == 0 {
		shf.chunks = append(shf.chunks, new([chunkSize]record))
	}
	*shf.at(counter) = rec
	return counter
}

// find returns nil for a counter that is not held.
func (shf *shelf) find(counter uint64) *record {
	if counter < shf.first || counter >= shf.end {
		return nil
	}
	return shf.at(counter)
}

// drop removes the oldest record.
func (shf *shelf) drop() {
	*shf.at(shf.first) = record{}
	shf.first++
	if shf.first%chunkSize == 0 {
		shf.chunks[0] = nil
		shf.chunks = shf.chunks[1:]
	}
}

func (shf *shelf) at(counter uint64) *record {
	base := shf.first / chunkSize
	return &shf.chunks[counter/chunkSize-base][counter%chunkSize]
}
