package yuccaplace

import "time"

const (
	// recentWeight is the weight of one observation in a target's recent rate. A target
	// that becomes slow is detected after three requests, and a single outlier moves
	// the rate by a third at most.
	recentWeight = 0.3
	// usualWeight is the weight of one observation in a target's usual rate, with which
	// its recent rate is compared. Observations fade over about fifty requests, so a
	// target that was moved to other hardware isn't treated as a straggler forever.
	usualWeight = 0.02
	// stragglerDivisor divides usualWeight for the observations of a straggler. About
	// five hundred observations of a straggler make its slow rate the usual one, so
	// only a lasting change has this effect.
	stragglerDivisor = 10
	// bestWeight is the weight of one observation in the best rate when the observed
	// rate is lower. If the target no longer reaches its best rate, the best rate thus
	// falls to the observed rates over about a thousand requests.
	bestWeight = 0.001
	// initialSamples is how many observations establish a target's usual rate. With
	// fewer, one outlier would distort it; with more, a straggler that was never seen
	// at full speed would still be taken for normal.
	initialSamples = 8

	// probeWeight is the weight of a probe's observation. The probe's rate replaces the
	// recent rate entirely, because a target that has recovered must return to ordinary
	// use after one probe, not after ten.
	probeWeight = 1
	// rateHalfLife is the time without observations after which half of the distance
	// between a recent rate and the usual one is gone: about five requests of ordinary
	// length.
	rateHalfLife = 20 * time.Second
	// slowRatio is the factor below its usual rate at which a target gets only probes.
	// A target that is less slow already gets less work, because its cost is higher. At
	// a target that is slower and still slowing down, the learned rate lags behind the
	// actual one.
	slowRatio = 4.0
	// stallFactor and stallSlack bound how long a target may show no progress before it
	// counts as stalled: four times the time that the target's own rate predicts, plus
	// a second for the network and for the interval between reports.
	stallFactor = 4.0
	stallSlack  = time.Second
	// minProbeInterval and maxProbeInterval bound the interval between probes, which
	// doubles with each failed probe: a target that is down costs one request a minute,
	// and a target that stalled briefly is probed again after five seconds.
	minProbeInterval = 5 * time.Second
	maxProbeInterval = time.Minute
	// topTierProbeDelay is how many probe intervals later than requests of lower tiers
	// a request of the top tier may be used as a probe.
	topTierProbeDelay = 1
	// fadeInterval is the interval at which recent rates move back towards the usual
	// ones.
	fadeInterval = time.Second
	// initialCrowding and initialPromptFactor are the initial values of the
	// interference model: in a full batch a token takes twice as long as alone, and
	// prompts and answers share the time equally.
	initialCrowding     = 1.0
	initialPromptFactor = 1.0
	// interferenceStep is the share of one answer's error by which the interference
	// model is corrected: about a hundred answers under varying load replace its
	// initial values. maxCrowding bounds the model's crowding; maxPromptLoss bounds the
	// share of the decoding time that prompts can take.
	interferenceStep = 0.05
	maxCrowding      = 4.0
	maxPromptLoss    = 0.95
	// meterSpan is the time constant of the moving average of the time that a target
	// spends on prompts.
	meterSpan = 20 * time.Second
	// trackedRanks is for how many tiers, from the top one down, the meter and the
	// typical requests are kept separately.
	trackedRanks = 4
	// answerMeanWeight is the weight of one answer in the mean answerRatio of its
	// operation. p90Step is the step, as a ratio of lengths, by which the 90th
	// percentile moves, and p90Quantile the share of answers that stay below it.
	answerMeanWeight = 0.02
	p90Step          = 0.05
	p90Quantile      = 0.9
	// initialP90 is the 90th percentile before any answer was observed, as a multiple
	// of the estimated length.
	initialP90 = 1.3
	// maxAnswerRatio bounds the ratio of actual to estimated length that is counted for
	// one answer, and so the effect of one outlier on the mean.
	maxAnswerRatio = 5
	// overrunWeight is the cost of a second beyond the deadline, relative to a second
	// of waiting for the answer.
	overrunWeight = 4.0
	// recomputeWeight is the cost of a second of prefill that another target's cache
	// would have saved, relative to a second of waiting for the answer.
	recomputeWeight = 10.0
	// queueSlack is the slack that a request must have in order to wait for a target
	// that holds its prefix, as a fraction of the request's estimated time on this
	// target.
	queueSlack = 0.3
	// evictionCostWeight is the weight of one prompt in the averages from which
	// evictionCost is computed. maxEvictionCost is the largest value that evictionCost
	// returns, in blocks computed again later for each evicted block.
	evictionCostWeight = 0.03
	maxEvictionCost    = 2.0
	// answerMargin multiplies the expected length of an answer when the request's
	// finishing time is estimated; 1 adds no margin. A larger value makes fewer
	// requests finish late. A request that finishes late wastes its whole prefill and
	// answer.
	answerMargin = 1.0
	// typicalWeight is the weight of one arrival in the typical request of its tier,
	// and typicalSpan is how long after the last arrival of a tier targets are kept
	// able to serve the next request of this tier.
	typicalWeight = 0.05
	typicalSpan   = 30 * time.Second
	// minPrefillSample is the fewest uncached prompt tokens from which a prefill rate
	// is measured; for shorter prompts fixed costs dominate.
	minPrefillSample = 64
	// defaultMaxPrefillWait is the longest prefill time that may be queued in a target
	// before it gets no further requests. It is short because tiers have no effect on
	// work that is already inside an engine.
	defaultMaxPrefillWait = 250 * time.Millisecond
	// defaultExtraSlots is how many requests beyond its slots a target may hold.
	defaultExtraSlots = 0
	// longPrefillTime is the prefill time from which a prompt counts as long, because a
	// short request behind that prompt would wait far longer than its own work takes.
	longPrefillTime = time.Second
	// maxReservedShare is the largest share of the targets that is kept free of long
	// prompts.
	maxReservedShare = 0.5
	// arrivalWeight is the weight of one arrival in the averages of short work and of
	// all work.
	arrivalWeight = 0.01
	// loadReportLifetime is how long a load report that shows requests of other leaders
	// is used: twice the interval at which targets send load reports.
	loadReportLifetime = 5 * time.Second
	// lostEventsTrust is the factor by which the trust in a cache model is multiplied
	// when cache events were lost.
	lostEventsTrust = 0.7
	// hitTrustWeight is the weight of one observed cache hit in the trust in a cache
	// model.
	hitTrustWeight = 0.1
	// maxPromptBlocks bounds the blocks that are recorded for one prompt: 65,536
	// tokens.
	maxPromptBlocks = 256
	// defaultPrefillRate and defaultDecodeRate replace rates that the configuration
	// leaves out, in tokens per second.
	defaultPrefillRate = 2000
	defaultDecodeRate  = 30
	// defaultCallTime is the initial estimate of the duration of a plain service's
	// call.
	defaultCallTime = 200 * time.Millisecond
)
