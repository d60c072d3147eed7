package yuccagrant

import "time"

const (
	// firstGuess, promptGuess and eventGuess are the model before any answer was seen: the
	// first event of an idle engine, what each token of the prompt adds, and the time
	// between two events.
	firstGuess  = 150 * time.Millisecond
	promptGuess = 20 * time.Microsecond
	eventGuess  = 15 * time.Millisecond

	// modelWeight is the weight of one answer in the pool's model, after the first few. The
	// model is of the pool and changes with its load, over some forty answers.
	modelWeight = 0.05
	// paceWeight is the weight of one answer in its target's pace: a target that turns slow
	// is known after three answers.
	paceWeight = 0.35
	// callWeight is the same for a plain service, whose answers differ by themselves.
	callWeight = 0.1
	// pacedEnough is how many answers make a pace that is worth telling other leaders.
	pacedEnough = 3
	// eventsForPace is how many events make a pace; fewer say more of the batch than of the
	// target.
	eventsForPace = 4
	// mostPace bounds what one odd answer can do.
	mostPace = 20.0
	// lateWeight is the weight of one answer in the part of a target's answers that paused
	// for too long.
	lateWeight = 0.1
	// lateCost is what such a pause is counted for, against which a later first event is
	// weighed: it costs the answer its being on time, whole.
	lateCost = 2 * time.Second
	// crowdCost is the part of the expected first event that a full target adds to its
	// cost. It spreads work over targets of one pace, since each run slows the others.
	crowdCost = 0.5
	// biasPart is the most that equal targets are told apart by, as a part of the expected
	// first event.
	biasPart = 0.1
	// awayCost is what the way to another region counts for beyond its time, since it is
	// paid by volume.
	awayCost = 150 * time.Millisecond
	// margin is the part of the time to its aim within which a first event must be expected
	// for a target to suit.
	margin = 0.85

	// slowPace is the pace from which a target counts as slow for long prompts.
	slowPace = 2.0

	// failWeight is the weight of one outcome in a target's rate of failures.
	failWeight = 0.15
	// failCost is what a certain failure counts for.
	failCost = 4 * time.Second
	// restFirst and restLast bound how long a target that can't be reached or lost a
	// request gets nothing. It doubles while failures follow one another.
	restFirst = 300 * time.Millisecond
	restLast  = 4 * time.Second
	// overdueRatio and overdueSlack say when a run that shows nothing makes its target
	// doubtful: three times what was expected and the grain of a busy batch.
	overdueRatio = 3.0
	overdueSlack = 300 * time.Millisecond
	// foreignFor is how long a target's word that it has more runs than we know of counts.
	foreignFor = 500 * time.Millisecond
	// foreignSlack is how many runs more than known a target may report without it counting.
	foreignSlack = 2

	// spareParts is the part of a target's places that may wait there beyond them. Measured
	// with six places, mean worth over all days of two deployments: none 0.794 and 0.850, one
	// 0.797 and 0.853, two 0.798 and 0.855, four 0.792 and 0.846.
	spareParts = 4

	// rankWeight is how many times as much work counts for each rank below the most urgent.
	rankWeight = 3.0
	// mostRank bounds the ranks that are told apart.
	mostRank = 20
	// overRanks is by how many ranks a request is less urgent whose account is beyond its quota.
	overRanks = 2
	// passedPart is the part of the time until its caller leaves during which a request may be
	// passed by less urgent ones.
	passedPart = 0.5

	// mostWaiting bounds what waits for one pool; beyond it no wait would end in time.
	mostWaiting = 2000
	// looks is how many of one rank are tried before the rank is passed over: those behind
	// a first one that found no room seldom find any.
	looks = 6
	// holdGuess is the time that a run holds its place before any was seen.
	holdGuess = 500 * time.Millisecond
	// fewHolds is how many runs have to be seen before a wait is foretold from them.
	fewHolds   = 4
	holdWeight = 0.05
	// patience is the part of the time until its caller leaves that a request may wait
	// beyond its aim while requests of lower ranks run.
	patience = 0.5
	// soon is a wait after its aim that a request is left in the queue for.
	soon = 200 * time.Millisecond
	// leastBack and mostBack bound the time that a refused caller is told to come back
	// after, and backSpread spreads those that were refused together.
	leastBack  = 300 * time.Millisecond
	mostBack   = 8 * time.Second
	backSpread = 0.5
	// renewal is how long a pool may be without any target before requests for it are refused
	// at once: targets that live renew their registrations within two seconds.
	renewal = 2 * time.Second
	// lostFor is how long a run counts whose owner never told its end.
	lostFor = 60 * time.Second
)
