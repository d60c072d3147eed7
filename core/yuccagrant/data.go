package yuccagrant

import "time"

const (
	// defaultFirst, defaultPerPromptToken and defaultEventGap are the latencies assumed before
	// any answer was seen: the time to the first event on an idle engine, what each prompt
	// token adds to it, and the time between two events.
	defaultFirst          = 150 * time.Millisecond
	defaultPerPromptToken = 20 * time.Microsecond
	defaultEventGap       = 15 * time.Millisecond

	// modelWeight is the weight of one answer in the pool's latency model, after the first few.
	// Latencies change with the load of the pool, so the model follows them over about forty
	// answers.
	modelWeight = 0.05
	// streamPaceWeight is the weight of one answer of several events in the pace of its target.
	// Three answers suffice to recognise a target that has become slow.
	streamPaceWeight = 0.35
	// singlePaceWeight is the weight of one answer of a plain service, which consists of a
	// single event. It is lower because the durations of such answers vary by themselves.
	singlePaceWeight = 0.1
	// minPaceSamples is the number of answers from which a pace is reported to other leaders.
	minPaceSamples = 3
	// minPaceEvents is the number of events that an answer must exceed to count for the pace,
	// because the gaps of fewer depend more on the batch than on the target.
	minPaceEvents = 4
	// maxPace bounds the effect of one outlier on a pace.
	maxPace = 20.0
	// lateGapWeight is the weight of one answer in the fraction of a target's answers that had
	// a gap longer than MaxGap.
	lateGapWeight = 0.1
	// lateGapCost is the cost of such a gap, which is weighed against a later first event. It
	// is high because the gap makes the whole answer late.
	lateGapCost = 2 * time.Second
	// crowdingShare is the share of the expected time to the first event that a full target
	// adds to its cost. It spreads work over targets of the same pace, because each run slows
	// the others on its target.
	crowdingShare = 0.5
	// biasShare bounds the random cost difference between equal targets, as a share of the
	// expected time to the first event.
	biasShare = 0.1
	// remoteCost is the cost of a target in another region in addition to the round trip,
	// because traffic between regions is billed by volume.
	remoteCost = 150 * time.Millisecond
	// softDeadlineShare is the share of the time to the soft deadline within which a target
	// must be expected to send the first event to be suitable.
	softDeadlineShare = 0.85

	// slowPace is the pace above which a target is too slow for long prompts.
	slowPace = 2.0

	// failureWeight is the weight of one outcome in a target's failure rate.
	failureWeight = 0.15
	// failureCost is the cost of a target whose failure rate is 1.
	failureCost = 4 * time.Second
	// minBackoff and maxBackoff bound the time for which a target gets no requests after it was
	// unreachable or lost a request. The time doubles with each consecutive failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 4 * time.Second
	// A run without a first event makes its target suspect once it has taken overdueRatio times
	// the expected time plus overdueSlack, which covers the step time of a busy batch.
	overdueRatio = 3.0
	overdueSlack = 300 * time.Millisecond
	// unaccountedTTL is how long a target's report of more runs than the leaders know of is
	// taken into account.
	unaccountedTTL = 500 * time.Millisecond
	// unaccountedSlack is the number of such runs that is ignored.
	unaccountedSlack = 2

	// A target with n slots is granted up to n/overcommitDivisor requests more than that,
	// rounded up, which wait in its own queue.
	overcommitDivisor = 4

	// rankFactor is the factor by which the work of a request counts for more in the queue
	// order with each rank below the most urgent.
	rankFactor = 3.0
	// maxRank is the largest rank; larger ones are treated like it.
	maxRank = 20
	// overQuotaRanks is the number of ranks by which a request is less urgent if its account is
	// over its quota.
	overQuotaRanks = 2
	// starvationShare is the share of the time to its deadline during which a request may be
	// overtaken by less urgent ones.
	starvationShare = 0.5

	// maxQueued bounds the queue of one pool, because requests in a longer queue could not be
	// served in time.
	maxQueued = 2000
	// maxMisses is the number of requests that may fail to get a target in one pass over a tier
	// before the pass ends, because those behind them seldom get one.
	maxMisses = 6
	// defaultHold is the assumed time that a run occupies its slot before any run was seen.
	defaultHold = 500 * time.Millisecond
	// minHoldSamples is the number of finished runs from which waiting times are estimated, and
	// holdWeight the weight of one run in the mean time for which a slot is occupied.
	minHoldSamples = 4
	holdWeight     = 0.05
	// While less urgent requests run, a request that will miss its soft deadline stays queued
	// if its first event is expected within lateStartShare of the time to its deadline.
	lateStartShare = 0.5
	// lateStartSlack is how long after its soft deadline the first event of a request may be
	// expected for it to stay queued.
	lateStartSlack = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to
	// retry. retryJitter is the share of that time by which it is randomly extended, so that
	// callers who were refused together do not retry together.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	retryJitter   = 0.5
	// noTargetGrace is how long a pool may be without targets before requests are refused at
	// once, because live targets renew their registrations within two seconds.
	noTargetGrace = 2 * time.Second
	// maxRunAge is how long a run is counted if its owner does not report its end.
	maxRunAge = 60 * time.Second
)
