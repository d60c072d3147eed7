package yuccagrant

const (
	// largeFactor is the factor above the mean work of its rank that makes a request large.
	largeFactor = 2.0
	// Large requests are moved forward in the queue while the share of them that is served is
	// below minServedRatio times the share of all requests of their rank.
	minServedRatio = 0.6
	// priorityDivisor divides the mean work of the rank to give the work that such a large
	// request is ordered by.
	priorityDivisor = 4
	// rankStatsWeight is the weight of one request in the mean work and the served share of its
	// rank, and largeServedWeight the weight of a large one in the served share of large
	// requests, of which there are few.
	rankStatsWeight   = 0.02
	largeServedWeight = 0.05
)

// sizeStats prevents large requests from being refused for as long as engines are full.
//
// If requests were ordered by work alone, the largest tenth of a rank would get no slots while
// twice as many requests arrive as the engines can serve, although most of the others are
// served.
type sizeStats struct {
	ranks map[int]*rankStats
}

// rankStats are the mean work of the requests of one rank, and the shares of all and of the
// large ones that are served.
type rankStats struct {
	meanWork                      float64
	servedShare, largeServedShare float64
}

func newSizeStats() sizeStats {
	return sizeStats{ranks: make(map[int]*rankStats)}
}

// orderingWork returns the work that a request is ordered by: its own, or a fraction of the
// mean if large requests are served too seldom.
func (ss *sizeStats) orderingWork(rank int, work float64) float64 {
	stats := ss.ranks[rank]
	if stats == nil || work <= largeFactor*stats.meanWork || stats.largeServedShare >= minServedRatio*stats.servedShare {
		return work
	}
	return stats.meanWork / priorityDivisor
}

// learn records whether a request was served.
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
