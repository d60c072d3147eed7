package yuccaqueue

import (
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// defaultRequests bounds memory: a waiting request takes about a kilobyte with its
	// prefixes, so a full queue takes some 20 MB of a small VM. At the aimed 365
	// requests/s it is 45 s of arrivals, longer than urgent work can wait.
	defaultRequests = 16384
	// defaultTokens bounds how much work may be promised: 2,000 tokens for each request
	// at the bound, the mean length of the mixed workload.
	defaultTokens yuccaid.Tokens = defaultRequests * 2000
	// accountShare is the part of the queue that one client account may fill. At a
	// quarter, one account in a loop leaves three quarters to the others.
	accountShare = 0.25
	// lowerShare is the part of the queue that the tiers below the top may fill. The
	// rest keeps a burst of letters from making every urgent arrival displace one: a
	// refusal at arrival is kinder than a displacement after a wait.
	lowerShare = 0.75
	// fairWindow is how far, in seconds of service for each unit of weight, an account
	// may run ahead of the one served least before deadlines stop speaking for it.
	// Zero is pure weighted fair order, infinity pure deadline order. Sweep by the trial
	// (24 scenarios, share of all served at the hotline and the desk): 1 gives 89.6 and
	// 83.5, 5 gives 89.4 and 83.7, 20 gives 89.5 and 83.8: flat, so near to fair.
	fairWindow = 5.0
	// holdLimit is how many requests of a class may be set aside in one go because
	// their deadlines can't be met where there is room now. It bounds the work of one
	// decision; beyond it the class waits for other room.
	holdLimit = 8
	// slotWidth and slotCount shape the histogram of waiting work over deadlines, which
	// reaches 17 minutes ahead; later deadlines count as one last slot.
	slotWidth = time.Second
	slotCount = 1024
)
