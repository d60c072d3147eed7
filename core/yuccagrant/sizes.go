package yuccagrant

const (
	// A request is large if its expected work is more than largeFactor times the mean expected
	// work of its rank.
	largeFactor = 2.0
	// Large requests of a rank are moved forward in the queue while their served share is below
	// minServedRatio times the served share of all requests of that rank.
	minServedRatio = 0.65
	// A large request that is moved forward is ordered as if its work were the mean work of its
	// rank divided by priorityDivisor.
	priorityDivisor = 4
	// rankStatsWeight is the weight of one request in the mean work and the served share of its
	// rank. largeServedWeight is the weight of one large request in the served share of large
	// requests; it is higher because there are few of them.
	rankStatsWeight   = 0.02
	largeServedWeight = 0.05
)

// sizeStats prevents all large requests from being refused while the targets are full.
//
// If requests were ordered by work alone, the largest tenth of a rank would get no slots while
// twice as many requests arrive as the targets can serve, although most of the smaller requests
// are served. Ranks are effective ranks here.
type sizeStats struct {
	ranks map[int]*rankStats
}

// rankStats holds the mean expected work of the requests of one rank, in seconds of one slot of the
// fastest target, the served share of these requests, and the served share of the large requests
// among them.
type rankStats struct {
	meanWork                      float64
	servedShare, largeServedShare float64
}

func newSizeStats() sizeStats {
	return sizeStats{ranks: make(map[int]*rankStats)}
}

// orderingWork returns the work that a request is ordered by: its own expected work, or the mean
// work of its rank divided by priorityDivisor if the request is large and the large requests of its
// rank are served too seldom.
func (ss *sizeStats) orderingWork(rank int, work float64) float64 {
	stats := ss.ranks[rank]
	if stats == nil || work <= largeFactor*stats.meanWork || stats.largeServedShare >= minServedRatio*stats.servedShare {
		return work
	}
	return stats.meanWork / priorityDivisor
}

// learn records that a request was served, which means that it was granted a slot, or that it was
// refused.
func (ss *sizeStats) learn(rank int, work float64, served bool) {
	stats := ss.ranks[rank]
	if stats == nil {
		stats = &rankStats{meanWork: work, servedShare: 1, largeServedShare: 1}
		ss.ranks[rank] = stats
	}
	sample := 0.0
	if served {
		sample = 1
	}
	if work > largeFactor*stats.meanWork {
		stats.largeServedShare += largeServedWeight * (sample - stats.largeServedShare)
	}
	stats.servedShare += rankStatsWeight * (sample - stats.servedShare)
	stats.meanWork += rankStatsWeight * (work - stats.meanWork)
}

// mostUrgent reports whether no request of a more urgent rank has been seen, but requests of less urgent
// ranks have.
func (ss *sizeStats) mostUrgent(rank int) bool {
	less := false
	for other := range ss.ranks {
		if other < rank {
			return false
		}
		less = less || other > rank
	}
	return less
}
