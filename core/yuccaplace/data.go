package yuccaplace

import "time"

const (
	// recentWeight is the weight of one observation in a target's present rate: a
	// target that turns slow is known after three requests, and one odd request moves
	// the rate by a third at most.
	recentWeight = 0.3
	// usualWeight is the weight of one observation in the rate that a target is
	// measured against. It forgets in some fifty requests, so a target that was moved to
	// other hardware isn't called a straggler for ever.
	usualWeight = 0.02
	// oddPart divides the weight of a straggler's observations: some five hundred of them
	// make slowness usual, so only a change that lasts does.
	oddPart = 10
	// bestWeight lets the best speed sink, in some thousand requests, when a target no
	// longer comes near it.
	bestWeight = 0.001
	// firstRates is how many observations make up what is usual for a target. With
	// fewer one odd request would; with more a real straggler that was never seen well
	// would be taken for usual anyway.
	firstRates = 8

	// probeWeight is the weight of what a probe saw: nothing younger is known, and a
	// target that is well again has to come back after one probe, not after ten.
	probeWeight = 1
	// forgetHalf is the time without news in which half of a rate's distance from the
	// usual one is forgotten: some five requests of ordinary length.
	forgetHalf = 20 * time.Second
	// slowRatio is the loss of speed against its own usual rate at which a target gets
	// probes only. Below it the cost already sends it less work; beyond it the learned
	// rate lags behind a target that is still getting slower.
	slowRatio = 4.0
	// overdueRatio and overdueSlack say when a target that shows nothing counts as
	// stalled: four times what its own rate explains and a second for the network and
	// for the grain of the reports.
	overdueRatio = 4.0
	overdueSlack = time.Second
	// probeFirst and probeLast bound the pause between probes, which doubles with each
	// that fails: a dead target costs one request in a minute, a short stall is over
	// after five seconds.
	probeFirst = 5 * time.Second
	probeLast  = time.Minute
	// patience is how many pauses more a probe of the top tier waits for one of a lower
	// tier to go instead.
	patience = 1
	// fadePause is the grain in which old news fades.
	fadePause = time.Second
	// crowdingGuess and promptsGuess are what sharing starts from: in a full batch a token
	// takes twice as long, and prompts and answers share the time equally.
	crowdingGuess = 1.0
	promptsGuess  = 1.0
	// sharingStep is how far one answer moves the model: a hundred answers under changing
	// load make a new one. mostSharing and mostLost bound it.
	sharingStep = 0.05
	mostSharing = 4.0
	mostLost    = 0.95
	// meterSpan is the span over which a target's share of prompt work is averaged.
	meterSpan = 20 * time.Second
	// meterRanks is how many tiers are told apart in it.
	meterRanks = 4
	// lengthWeight is the weight of one answer in the mean length of its operation, and
	// highStep the step of the value that highPart of the answers stay below.
	lengthWeight = 0.02
	highStep     = 0.05
	highPart     = 0.9
	// firstHigh is that value before any answer was seen.
	firstHigh = 1.3
	// longestRatio bounds what one odd answer can do to the mean.
	longestRatio = 5
	// overrun is how many seconds of a later answer a second beyond the deadline weighs.
	overrun = 4.0
	// recompute is how many seconds of a later answer a second of prefill weighs that
	// another target's cache would have saved.
	recompute = 10.0
	// patienceSlack is how much of its expected time a request must have to spare before
	// it waits for a target that holds its prefix.
	patienceSlack = 0.3
	// valueWeight is the weight of one prompt in what a target's cache is worth, and
	// mostWorth the most that a block may count for.
	valueWeight = 0.03
	mostWorth   = 2.0
	// surety is how much longer than expected an answer is taken to be when its deadline
	// is checked. A request that ends late has cost its whole prefill and answer.
	surety = 1.0
	// typicalWeight is the weight of one arrival in the picture of its tier, and
	// guardSpan how long after the last arrival targets are kept open for the next.
	typicalWeight = 0.05
	guardSpan     = 30 * time.Second
	// minimalSample is the shortest prefill that says something about the rate; below
	// it fixed costs dominate.
	minimalSample = 64
	// defaultDepth is how much prefill, in time, may wait in a target before it gets
	// another request. Work in an engine is out of reach of the tiers.
	defaultDepth = 250 * time.Millisecond
	// defaultSpare is how many requests beyond its slots a target may hold.
	defaultSpare = 0
	// longPrefill is the prefill time from which a prompt counts as long: a short
	// lookup behind it would wait longer than it takes itself by far.
	longPrefill = time.Second
	// longestReserve is the largest part of the targets that is kept free of long
	// prompts.
	longestReserve = 0.5
	// demandWeight is the weight of one arrival in the share of short work.
	demandWeight = 0.01
	// foreignLife is how long a load report that shows work of others counts: two
	// periods of today's reports.
	foreignLife = 5 * time.Second
	// gapTrust is what a gap in the cache events leaves of the trust in the record.
	gapTrust = 0.7
	// trustWeight is the weight of one observed cache hit in the trust.
	trustWeight = 0.1
	// maxPrefixes bounds the blocks that are recorded for one prompt: 65,536 tokens.
	maxPrefixes = 256
	// guessPrefill and guessDecode stand in for rates the configuration leaves out.
	guessPrefill = 2000
	guessDecode  = 30
	// guessCall is the first guess of a plain service's call.
	guessCall = 200 * time.Millisecond
)
