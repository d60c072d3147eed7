package yuccaplace

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// Verdict says why a request got no target.
type Verdict int

// The verdicts of Choose.
const (
	// Found says that there is a target.
	Found Verdict = iota
	// NoFreeSlot says that no target of the set has room.
	NoFreeSlot
	// Unsuitable says that those with room can't meet the deadline, or not without harm to
	// others; another request may still use that room.
	Unsuitable
	// WaitForBetter says that a target without room now is worth waiting for.
	WaitForBetter
)

// Choice is a target for a request and what is expected there.
type Choice struct {
	TargetState *TargetState
	Cached      yuccaid.Tokens
	Wait        time.Duration
	Finish      time.Duration
	high        time.Duration
	cost        float64
}

// Choose returns the cheapest target of the set that has room and meets the deadline.
//
// Made for a fleet of unlike speeds whose load reports are old: the cost is the time
// until the answer is whole, by the leader's own count of what is there, plus the
// prefill that another target's cache would have saved, each by its policy weight. So
// a cached prefix draws a request to its target, and gives way as soon as waiting
// there costs more than computing the prefix again.
func (fleet *Placer) Choose(now time.Time, reach *TargetSet, shape *Request) (Choice, Verdict) {
	fleet.stamp++
	deepest := min(fleet.prefixes.mark(fleet.stamp, shape.Prefixes), shape.Prompt)
	best := Choice{cost: math.Inf(1)}
	verdict := NoFreeSlot
	keep := fleet.longRoom(shape)
	for _, node := range reach.nodes {
		if keep && node.longs == 0 {
			continue
		}
		if !fleet.room(now, node, shape) {
			continue
		}
		if reach.holds(node) {
			if fleet.mayProbe(now, node, shape) {
				return Choice{TargetState: node, Finish: fleet.usual(node, shape)}, Found
			}
			continue
		}
		choice := fleet.estimate(now, node, shape, deepest, node.company(now))
		if verdict == NoFreeSlot {
			verdict = Unsuitable
		}
		if choice.late(now, shape) || choice.cost >= best.cost || fleet.spoils(now, node, shape, &choice) {
			continue
		}
		verdict = Found
		best = choice
	}
	if verdict == Found && fleet.worthWaiting(now, reach, shape, deepest, &best) {
		return best, WaitForBetter
	}
	return best, verdict
}

// worthWaiting reports whether a target without room now, which holds more of the
// prompt than the best with room, is the better choice even with the wait. It looks
// only when what the cache saves is more than the depth, so not for short requests.
func (fleet *Placer) worthWaiting(now time.Time, reach *TargetSet, shape *Request, deepest yuccaid.Tokens, best *Choice) bool {
	if fleet.plain || shape.LastAttempt || best.TargetState.prefillTime(deepest-best.Cached) <= fleet.depth {
		return false
	}
	for _, node := range reach.nodes {
		if node.stamp != fleet.stamp || node.hit <= best.Cached || fleet.room(now, node, shape) {
			continue
		}
		if other, ok := fleet.later(now, node, shape, deepest); ok && other.cost < best.cost {
			return true
		}
	}
	return false
}

// spoils reports whether the request would take from others on the target what they
// need more. At its last moment a request is let in unless it makes a run late.
func (fleet *Placer) spoils(now time.Time, node *TargetState, shape *Request, choice *Choice) bool {
	if fleet.plain {
		return false
	}
	return node.harms(now, shape, choice) || !shape.LastAttempt && fleet.crowdsOut(now, node, shape, choice)
}

// later estimates a target that has no room now but holds more of the prompt than
// nothing. Waiting for it is worth while as long as it costs less than computing the
// prefix again somewhere else, which would also push out what is cached there.
func (fleet *Placer) later(now time.Time, node *TargetState, shape *Request, deepest yuccaid.Tokens) (Choice, bool) {
	if node.Leaving() || node.probing {
		return Choice{}, false
	}
	with := node.company(now)
	if node.busy(now) >= node.Target.Slots+fleet.spare {
		with.wait += node.slotWait(now)
	}
	choice := fleet.estimate(now, node, shape, deepest, with)
	spare := shape.Deadline.Sub(now) - choice.Finish
	return choice, spare > time.Duration(patienceSlack*float64(choice.Finish))
}

// slotWait is how long until the first of the target's runs is likely to end.
func (node *TargetState) slotWait(now time.Time) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, run := range node.runs {
		if !run.Prefilling() {
			least = min(least, node.decodeTime(run.left(now), float64(len(node.runs)-1)))
		}
	}
	if least == math.MaxInt64 {
		return node.prefillWait(now)
	}
	return least
}

// late reports whether the request is likely to miss its deadline. Until its last
// moment it wants room even for a long answer: what ends late has cost the target its
// prefill and its answer, and nobody gets anything for it.
func (choice *Choice) late(now time.Time, shape *Request) bool {
	return now.Add(choice.needs(shape)).After(shape.Deadline)
}

func (choice *Choice) needs(shape *Request) time.Duration {
	if shape.LastAttempt {
		return choice.Finish
	}
	return max(choice.Finish, choice.high)
}

// longRoom reports whether a long prompt may only join targets that already work on
// one, because the others are kept for short requests. It counts over the whole fleet:
// counted over each set of targets, a long prompt of a lower tier could find room in
// its set which one of a higher tier is refused in another.
func (fleet *Placer) longRoom(shape *Request) bool {
	if !shape.LongPrompt || shape.LastAttempt {
		return false
	}
	occupied, usable := 0, 0
	for _, node := range fleet.nodes {
		if node.Leaving() || node.probing {
			continue
		}
		usable++
		if node.longs > 0 {
			occupied++
		}
	}
	return occupied >= usable-fleet.reserve(usable)
}

// room reports whether a target may get another request now.
//
// Engines know no tiers and serve in order of arrival. What waits inside one can't be
// overtaken by an urgent request, so little may wait there: nothing beyond its slots,
// and prompts for no longer than the depth.
func (fleet *Placer) room(now time.Time, node *TargetState, shape *Request) bool {
	if node.Leaving() || node.busy(now) >= node.Target.Slots+fleet.spare {
		return false
	}
	return fleet.plain || shape.LastAttempt || node.prefillWait(now) <= fleet.depth+fleet.saved(node, shape)
}

// saved is how long computing the cached part of the prompt would take. So much longer
// may a request wait inside the target: there it costs others only what isn't cached,
// while elsewhere it would compute the prefix again and push another one out.
func (fleet *Placer) saved(node *TargetState, shape *Request) time.Duration {
	if node.stamp != fleet.stamp {
		return 0
	}
	return node.prefillTime(min(node.hit, shape.Prompt))
}

// mayProbe lets a single request find out whether a target is well again. It goes if
// the target's usual speed would leave it half its time. The top tier goes only when
// no lower one has gone for a while more: what a probe risks is its deadline.
func (fleet *Placer) mayProbe(now time.Time, node *TargetState, shape *Request) bool {
	at := node.probeAt
	if shape.Rank == 0 {
		at = at.Add(patience * node.probePause)
	}
	if shape.LastAttempt || len(node.runs) > 0 || now.Before(at) {
		return false
	}
	return shape.Deadline.Sub(now) > 2*fleet.usual(node, shape)
}

func (fleet *Placer) usual(node *TargetState, shape *Request) time.Duration {
	if fleet.plain {
		return seconds(1 / node.call.usual)
	}
	return seconds(float64(shape.Prompt)/node.prefill.usual + float64(shape.Answer)/node.decode.usual)
}

// company is what a request would find on a target, perhaps after others have gone.
type company struct {
	wait     time.Duration
	running  float64
	decoding float64
	prompts  float64
}

func (node *TargetState) company(now time.Time) company {
	return company{
		wait:     node.prefillWait(now),
		running:  float64(len(node.runs)),
		decoding: float64(node.decoding()),
		prompts:  node.meter.promptsTo(meterRanks),
	}
}

func (fleet *Placer) estimate(now time.Time, node *TargetState, shape *Request, deepest yuccaid.Tokens, with company) Choice {
	if fleet.plain {
		finish := seconds(1 / node.call.recent)
		return Choice{TargetState: node, Finish: finish, cost: finish.Seconds()}
	}
	var cached yuccaid.Tokens
	if node.stamp == fleet.stamp {
		cached = yuccaid.Tokens(float64(min(node.hit, shape.Prompt)) * node.trust)
	}
	start := with.wait + node.prefillBeside(shape.Prompt-cached, with.decoding)
	choice := Choice{TargetState: node, Cached: cached, Wait: with.wait}
	choice.Finish = start + node.decodeBeside(float64(shape.Answer)*surety, with.running, with.prompts)
	high := start + node.decodeBeside(float64(max(shape.AnswerP90, shape.Answer)), with.running, with.prompts)
	again := node.prefillTime(deepest - cached).Seconds()
	again += node.prefillTime(shape.Prompt-cached).Seconds() * node.cache.worth()
	choice.high = high
	choice.cost = fleet.policy.GoodputWeight*lateness(choice.Finish, high, shape.Deadline.Sub(now)) +
		fleet.policy.WasteWeight*recompute*again
	return choice
}

// lateness weighs a finishing time by how much of the request's time it takes, and
// what goes beyond the deadline much more. A letter that has minutes doesn't compete
// for the fastest target with a note that has seconds.
func lateness(finish, high, slack time.Duration) float64 {
	tight := float64(high) / float64(max(slack, time.Millisecond))
	return finish.Seconds()*min(tight, 1) + overrun*max(high-slack, 0).Seconds()
}

// harms reports whether the request would make a run of its tier or a higher one late
// that is in time without it: its prompt takes the target's time from the answers, and
// one answer more slows all of them.
func (node *TargetState) harms(now time.Time, shape *Request, choice *Choice) bool {
	prompt := seconds(node.sharing.prompts * float64(shape.Prompt-choice.Cached) / node.prefill.recent)
	before := float64(len(node.runs) - 1)
	for _, run := range node.runs {
		if run.Rank > shape.Rank || run.Prefilling() {
			continue
		}
		slack := run.Deadline.Sub(now)
		left := run.left(now)
		if node.decodeTime(left, before) <= slack && node.decodeTime(left, before+1)+prompt > slack {
			return true
		}
	}
	return false
}
