package yuccagrant

import (
	"slices"
	"time"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccaid"
)

const (
	// minHeldTokens is the smallest number of prompt tokens for which it matters whether a target
	// holds them. Reading fewer tokens takes a few milliseconds.
	minHeldTokens = 256
	// maxParts bounds the parts that all targets of a pool hold according to the leader's estimate.
	// It takes some ten megabytes. minPartsPerTarget and maxPartsPerTargetLimit bound the parts of
	// one target.
	maxParts               = 64_000
	minPartsPerTarget      = 16
	maxPartsPerTargetLimit = 1024
	// maxNewParts bounds the parts that wait to be reported to other leaders. Parts beyond it are not
	// reported.
	maxNewParts = 1024
	// maxHeldChoices bounds the waiting requests that are compared for one free slot.
	maxHeldChoices = 64
	// maxSavedShare bounds the share of a request's work that a target is assumed to save, because
	// the answer has to be generated in any case.
	maxSavedShare = 0.9
)

// maxPartsPerTarget returns the bound on the parts that one of the given number of targets holds.
func maxPartsPerTarget(targets int) int {
	return min(max(maxParts/max(targets, 1), minPartsPerTarget), maxPartsPerTargetLimit)
}

// findHeldParts sets, on each target that holds parts of a request's prompt, how many tokens of the
// prompt it holds. It returns the target from which others can fetch most of the prompt, nil if there
// is none. It is one in a region in which the request may be served. A target of this region is preferred to
// one of another region that holds as much.
func (lead *Leader) findHeldParts(now time.Time, req *Request) (holder *targetState) {
	lead.generation++
	hashAt := func(at int) uint64 { return req.Parts[at].Hash }
	lead.parts.VisitHeld(len(req.Parts), hashAt, func(tgt *targetState, parts int) bool {
		if tgt.heldGeneration == lead.generation {
			return false
		}
		tgt.heldGeneration = lead.generation
		tgt.held = req.tokensOf(parts)
		better := holder == nil || tgt.held > holder.held || tgt.held == holder.held && holder.Remote && !tgt.Remote
		if better && !tgt.backingOff(now) && !tgt.tripped() && req.Regions.Allows(tgt.Region) {
			holder = tgt
		}
		return true
	})
	return holder
}

// tokensOf returns how many tokens the given number of parts from the start of the prompt have. The
// parts of a request that announces a shorter prompt count for no more than that prompt.
func (req *Request) tokensOf(parts int) yuccaid.Tokens {
	sum := yuccaid.Tokens(0)
	for _, part := range req.Parts[:parts] {
		sum += yuccaid.Tokens(part.Size)
	}
	return min(sum, req.Prompt)
}

// heldTokens returns how many tokens of the prompt of the request that findHeldParts was last called
// for a target holds, or zero if they are fewer than minHeldTokens.
func (lead *Leader) heldTokens(tgt *targetState, req *Request) yuccaid.Tokens {
	if len(req.Parts) == 0 || tgt.heldGeneration != lead.generation || tgt.held < minHeldTokens {
		return 0
	}
	return tgt.held
}

// longestHeld returns the largest number of tokens of a request's prompt that any target holds in a region in
// which the request may be served.
func (lead *Leader) longestHeld(req *Request) yuccaid.Tokens {
	if len(req.Parts) == 0 {
		return 0
	}
	hashAt := func(at int) uint64 { return req.Parts[at].Hash }
	parts := 0
	if req.Regions.Limited() {
		lead.parts.VisitHeld(len(req.Parts), hashAt, func(tgt *targetState, count int) bool {
			if req.Regions.Allows(tgt.Region) {
				parts = max(parts, count)
			}
			return false
		})
	} else {
		parts = lead.parts.LongestHeld(len(req.Parts), hashAt)
	}
	held := req.tokensOf(parts)
	if held < minHeldTokens {
		return 0
	}
	return held
}

// recordParts records that a target reads the prompt of a request. The last part is recorded first,
// so that it is evicted before the parts that precede it, as in the engines.
func (lead *Leader) recordParts(tgt *targetState, req *Request) {
	if len(req.Parts) == 0 || req.tokensOf(len(req.Parts)) < minHeldTokens {
		return
	}
	for at, part := range slices.Backward(req.Parts) {
		added := lead.parts.Touch(tgt, &tgt.cache, part)
		// Few requests share the last part, which is often the caller's own text.
		if shared := at < len(req.Parts)-1; added && shared && part.Size >= minHeldTokens && len(lead.newParts) < maxNewParts {
			lead.newParts = append(lead.newParts, HeldPart{Target: tgt.Name, Part: part})
		}
	}
}

// HeldPart is a part of prompts that a target holds.
type HeldPart struct {
	Target yuccaid.Target
	Part   yuccacache.Part
}

// TakeNewParts returns up to limit parts that targets have begun to hold since the last call, because
// this leader sent them prompts, for the leaders of other data centres. Each part is returned once.
func (lead *Leader) TakeNewParts(limit int) []HeldPart {
	count := min(limit, len(lead.newParts))
	taken := lead.newParts[:count:count]
	lead.newParts = lead.newParts[count:]
	return taken
}

// AddHeldParts records the parts that targets hold because other leaders sent them prompts.
//
// Without them each leader would have another target read the same part. If the requests for a part
// are spread over six data centres, the part would be read six times.
func (lead *Leader) AddHeldParts(parts []HeldPart) {
	for _, each := range parts {
		if tgt, found := lead.targetsByName[each.Target]; found {
			lead.parts.Touch(tgt, &tgt.cache, each.Part)
		}
	}
}

// forgetParts takes back what recordParts recorded for a run that ended before it began, unless
// another run on the target reads the same parts.
func (lead *Leader) forgetParts(run *activeRun) {
	tgt, held, sum := run.targetState, run.held, yuccaid.Tokens(0)
	for _, part := range run.request.Parts {
		sum += yuccaid.Tokens(part.Size)
		if sum > held && !tgt.reads(part.Hash) {
			lead.parts.Drop(tgt, &tgt.cache, part.Hash)
		}
	}
}

// reads reports whether the prompt of a run on the target has a part.
func (tgt *targetState) reads(hash uint64) bool {
	for _, run := range tgt.runs {
		for _, part := range run.request.Parts {
			if part.Hash == hash {
				return true
			}
		}
	}
	return false
}

// grantHeld grants the free slots of targets that hold parts of waiting prompts.
//
// While all targets are busy, the next slot that becomes free is seldom one of the target that holds
// the prompt of the request at the head of the queue. If that request got the slot, targets would
// read again what other targets hold, and the overload would grow. So the slot goes to the waiting
// request that is first in the order of the queue once the work that the target saves is subtracted.
// If that is a request of which the target holds nothing, grantTier decides.
func (lead *Leader) grantHeld(now time.Time, tier *tierQueue, eligible func(*queueEntry) bool, dec *Decisions) {
	if len(tier.entries) < 2 || lead.parts.Len() == 0 {
		return
	}
	for _, tgt := range lead.targets {
		for tgt.cache.Len() > 0 && lead.grantableSlots(now, tgt) > 0 && !tgt.backingOff(now) && !tgt.tripped() {
			entry := lead.firstOn(now, tgt, tier, eligible)
			if entry == nil {
				break
			}
			base := lead.baseline(now, &entry.Request)
			candidate := lead.estimate(now, tgt, &entry.Request, &base)
			if lead.heldTokens(tgt, &entry.Request) == 0 || candidate.tooSlow {
				break
			}
			if !candidate.suitable && entry.onTime(now) && lead.worthWaiting(now, &entry.Request) {
				break
			}
			lead.grant(now, entry, candidate, dec)
		}
	}
}

// firstOn returns the waiting request that is first in the order of the queue for a slot of one
// target. It looks at the first maxHeldChoices requests that may be granted the slot.
func (lead *Leader) firstOn(now time.Time, tgt *targetState, tier *tierQueue, eligible func(*queueEntry) bool) *queueEntry {
	var first *queueEntry
	var firstKey float64
	seen := 0
	for _, entry := range tier.entries {
		if !entry.onTime(now) || !eligible(entry) || !tgt.mayServe(&entry.Request) {
			continue
		}
		key := entry.sortKey * (1 - lead.savedShare(tgt, entry))
		if first == nil || key < firstKey {
			first, firstKey = entry, key
		}
		if seen++; seen == maxHeldChoices {
			break
		}
	}
	return first
}

// savedShare returns the share of a request's expected work that a target saves, because it holds
// parts of the prompt.
func (lead *Leader) savedShare(tgt *targetState, entry *queueEntry) float64 {
	parts := 0
	for parts < len(entry.Parts) && tgt.cache.Holds(entry.Parts[parts].Hash) {
		parts++
	}
	held := entry.tokensOf(parts)
	if held < minHeldTokens || entry.expectedWork <= 0 {
		return 0
	}
	_, slope := lead.latencyModel.fitLine()
	saved := slope * lead.lengthModel.timeToFirstRatio(entry.Class) * float64(held)
	return min(saved/entry.expectedWork, maxSavedShare)
}
