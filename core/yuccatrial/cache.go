package yuccatrial

import "container/list"

// prefixCache keeps the blocks that were used last, as engines do.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List // front is the newest
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// cached counts the leading blocks that are held.
func (che *prefixCache) cached(prefixes []uint64) int {
	for i, block := range prefixes {
		if che.blocks[block] == nil {
			return i
		}
	}
	return len(prefixes)
}

// use marks blocks as used now, the first ones as the newest, since a block is of no
// use without those before it.
func (che *prefixCache) use(prefixes []uint64) (stored, evicted []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		block := prefixes[i]
		if el := che.blocks[block]; el != nil {
			che.recent.MoveToFront(el)
			continue
		}
		che.blocks[block] = che.recent.PushFront(block)
		stored = append(stored, block)
	}
	for che.recent.Len() > che.limit {
		oldest := che.recent.Remove(che.recent.Back()).(uint64)
		delete(che.blocks, oldest)
		evicted = append(evicted, oldest)
	}
	return stored, evicted
}
