package yuccaqueue

import (
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// defaultRequests bounds memory: a waiting request takes about a kilobyte with its
	// prefixes, so a full queue takes some 20 MB of a small VM. At the target load of
	// 365 requests/s a full queue holds the arrivals of 45 s. Urgent requests can't wait
	// that long.
	defaultRequests = 16384
	// defaultTokens bounds the amount of queued work: 2,000 tokens, the mean length of
	// the mixed workload, for each request of a full queue.
	defaultTokens yuccaid.Tokens = defaultRequests * 2000
	// accountFraction is the fraction of the queue that one client account may fill. At
	// a quarter, an account that submits in a loop leaves three quarters to the other
	// accounts.
	accountFraction = 0.25
	// lowerTierFraction is the fraction of the queue that the tiers below the top may
	// fill. The rest of the queue is kept for the top tier. Otherwise, after a burst of
	// low-tier requests, every urgent arrival would have to displace a low-tier request.
	// A low-tier request is better refused at its arrival, because that costs its caller
	// less than a displacement after a wait.
	lowerTierFraction = 0.75
	// fairWindow is the default of WithFairWindow, in seconds of service for each unit of
	// weight. Zero gives pure weighted fair order, infinity pure deadline order. Windows
	// from 1 to 20 serve almost the same share of requests, so a short window is used,
	// which stays near fair order.
	fairWindow = 5.0
	// maxHeldItems is how many requests of a class may be held because the free slots
	// are unsuitable, before the whole class is parked (see class). It bounds the work
	// of one call of Serve.
	maxHeldItems = 8
	// bucketWidth and bucketCount shape the histogram of waiting work over deadlines,
	// which covers the next 17 minutes; all later deadlines share one bucket.
	bucketWidth = time.Second
	bucketCount = 1024
)
