package yuccagrant

import "time"

const (
	// defaultTimeToFirst, defaultPerPromptToken and defaultEventGap are the latencies assumed
	// before any answer was seen: the time to the first event on an idle target, what each
	// prompt token adds to that time, and the time between two events.
	defaultTimeToFirst    = 150 * time.Millisecond
	defaultPerPromptToken = 20 * time.Microsecond
	defaultEventGap       = 15 * time.Millisecond

	// latencyWeight is the weight of one answer in the pool's latency model; the first few answers
	// weigh more. Latencies change with the load of the pool, so the model follows them over about
	// forty answers.
	latencyWeight = 0.05
	// streamPaceWeight is the weight of one answer of several events in the pace of its target.
	// Three answers suffice to recognise a target that has become slow.
	streamPaceWeight = 0.35
	// singlePaceWeight is the weight of one answer that consists of a single event in the pace
	// of its target. It is lower than streamPaceWeight because the durations of such answers
	// vary even on the same target.
	singlePaceWeight = 0.1
	// minPaceSamples is the number of answers from a target that must have been seen before its
	// pace is reported to other leaders and used to normalise the paces.
	minPaceSamples = 3
	// minPaceEvents is the number of events that an answer must exceed to count for the pace,
	// because the gaps between few events depend more on the batch that the engine runs at that
	// time than on the target.
	minPaceEvents = 4
	// maxPace and 1/maxPace bound the ratio of actual to expected time that one answer can
	// contribute to a pace, so that an outlier has little effect. maxPace also bounds what one
	// answer contributes to a class's mean ratio of times to the first event.
	maxPace = 20.0
	// lateGapWeight is the weight of one answer in the fraction of a target's answers that had
	// a gap longer than MaxGap.
	lateGapWeight = 0.1
	// Costs are given as times: a target with 1 s of additional cost is treated like one whose
	// first event is expected 1 s later.
	//
	// lateGapCost is the cost of a target all of whose answers have a gap longer than MaxGap.
	// It is high because such a gap makes the whole answer late.
	lateGapCost = 2 * time.Second
	// crowdingShare is the share of the expected time to the first event that is added to the cost
	// of a target whose slots are all occupied. For other targets the added share is proportional
	// to the occupied slots. It spreads work over targets of the same pace, because each run slows
	// the others on its target.
	crowdingShare = 0.5
	// biasShare bounds targetState.bias, a random share of the expected time to the first event
	// by which the costs of equal targets differ.
	biasShare = 0.1
	// remoteCost is the cost of a target in another region in addition to the round trip,
	// because traffic between regions is billed by volume.
	remoteCost = 150 * time.Millisecond
	// softDeadlineShare is the share of the time to the soft deadline within which a target
	// must be expected to send the first event to be suitable for a request.
	softDeadlineShare = 0.85

	// slowPace is the pace above which a target isn't suitable for a prompt that it would read for
	// longer than MaxGap, because reading each chunk of the prompt would delay the target's other
	// answers for several times MaxGap.
	slowPace = 2.0

	// failureWeight is the weight of one outcome in a target's failure rate.
	failureWeight = 0.15
	// failureCost is the cost of a target whose failure rate is 1.
	failureCost = 4 * time.Second
	// minBackoff and maxBackoff bound the time for which a target gets no requests after a run
	// that was Unreachable, Lost or Misdirected. The time doubles with each consecutive failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 4 * time.Second
	// A run is overdue, and its target gets no requests, when its first event has not come after
	// overdueRatio times the expected time plus overdueSlack. The slack covers the time that an
	// engine with many runs needs for one step.
	overdueRatio = 3.0
	overdueSlack = 300 * time.Millisecond
	// unaccountedTTL is how long a target's report of more runs than the leaders know of is
	// taken into account.
	unaccountedTTL = 500 * time.Millisecond
	// unaccountedSlack is the number of runs that a target may report beyond the runs that the
	// leaders know of. Only runs in excess of unaccountedSlack are taken into account.
	unaccountedSlack = 2

	// A target with n slots is sent up to n/overcommitDivisor requests, rounded up, beyond its
	// slots; these wait in the target's own queue.
	overcommitDivisor = 4

	// The queue is sorted by expected work, multiplied by rankFactor for each rank by which a
	// request is less urgent than rank 0.
	rankFactor = 3.0
	// maxRank is the least urgent rank; larger values are treated as maxRank.
	maxRank = 20
	// overQuotaRanks is the number of ranks by which a request is less urgent if its account is
	// over its quota.
	overQuotaRanks = 2
	// starvationShare is the share of the time to its deadline during which less urgent requests
	// may overtake the request.
	starvationShare = 0.5

	// maxQueued bounds the queue of one pool, because requests in a longer queue could not be
	// served in time.
	maxQueued = 2000
	// maxMisses is the number of requests that may fail to get a target in one pass over a tier
	// before the pass ends, because the requests further back in the queue seldom get a target
	// then.
	maxMisses = 6
	// defaultHold is the time that a run is assumed to occupy its slot before any run has
	// finished.
	defaultHold = 500 * time.Millisecond
	// minHoldSamples is the number of runs that must have finished before waiting times are
	// estimated, and holdWeight the weight of one run in the mean time for which a run occupies
	// its slot.
	minHoldSamples = 4
	holdWeight     = 0.05
	// A request that is expected to miss its soft deadline stays queued while less urgent
	// requests run, if its first event is expected within lateStartShare of the time to its
	// deadline.
	lateStartShare = 0.5
	// A request also stays queued if its first event is expected at most lateStartSlack after
	// its soft deadline.
	lateStartSlack = 200 * time.Millisecond
	// noTargetGrace is how long a pool may be without targets before requests are refused at
	// once, because live targets renew their registrations within two seconds.
	noTargetGrace = 2 * time.Second
	// maxRunAge is how long a run is counted if its owner does not report that it finished.
	maxRunAge = 60 * time.Second
)
