package yuccaqueue

import (
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// defaultRequests bounds memory: a waiting request takes about a kilobyte with its
	// prefixes, so a full queue takes some 20 MB of a small VM. At the target load of
	// 365 requests/s it holds the arrivals of 45 s, longer than urgent requests can
	// wait.
	defaultRequests = 16384
	// defaultTokens bounds the amount of queued work: 2,000 tokens, the mean length of
	// the mixed workload, for each request of a full queue.
	defaultTokens yuccaid.Tokens = defaultRequests * 2000
	// accountFraction is the fraction of the queue that one client account may fill. At
	// a quarter, an account that submits in a loop leaves three quarters to the other
	// accounts.
	accountFraction = 0.25
	// lowerTierFraction is the fraction of the queue that the tiers below the top may
	// fill. The rest keeps a burst of low-tier requests from making every urgent
	// arrival displace one of them, because a refusal at arrival costs a caller less
	// than a displacement after a wait.
	lowerTierFraction = 0.75
	// fairWindow is how far, in seconds of service for each unit of weight, an account
	// may be ahead of the account served least and still compete by deadline. Zero gives
	// pure weighted fair order, infinity pure deadline order. Windows from 1 to 20
	// serve almost the same share of requests, so a short one that stays near fair
	// order is used.
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
