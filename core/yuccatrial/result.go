package yuccatrial

import (
	"cmp"
	"math"
	"slices"

	"yuccacleat/core/yuccaid"
)

// TierResult is what became of one tier's requests.
type TierResult struct {
	Tier      yuccaid.Tier
	Rank      int
	Offered   int
	Served    int // whole, within the deadline
	Late      int
	Refused   int
	Expired   int
	Preempted int
}

// Result is the outcome of one run.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	Load     float64

	Tiers     []TierResult // the most urgent first
	AllServed int
	Shed      int     // given up while a lower tier ran in the same pool
	Told      float64 // share of the not served that were told before the deadline
	ToldAt    float64 // share of their time that had passed then, on average
	Fairness  float64 // least part of its fair share that an account got
	Back      Comeback

	Waste      Waste
	Own        yuccaid.Tokens // prompt tokens of all offered requests that no other shares
	Messages   int
	Bytes      yuccaid.Bytes
	CrossBytes yuccaid.Bytes
}

// Comeback counts requests that came back when they were told to.
type Comeback struct{ Came, Served int }

// Offered counts all requests but those that came back.
func (res *Result) Offered() int {
	sum := 0
	for _, tier := range res.Tiers {
		sum += tier.Offered
	}
	return sum
}

// Goodput is the share of all requests that were served in time.
func (res *Result) Goodput() float64 {
	return ratio(res.AllServed, res.Offered())
}

// TierGoodput is the share of one tier's requests that were served in time.
func (res *Result) TierGoodput(rank int) float64 {
	for _, tier := range res.Tiers {
		if tier.Rank == rank {
			return ratio(tier.Served, tier.Offered)
		}
	}
	return 0
}

// WasteShare is the wasted prompt tokens by the prompt tokens that were offered and no
// other request shares. The latter are the same for every policy. By the tokens that a
// policy needed itself, one that serves long prompts only would seem thrifty.
func (res *Result) WasteShare() float64 {
	return ratio(res.Waste.Total(), res.Own)
}

func ratio[T int | yuccaid.Tokens](part, whole T) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// offer counts requests by tier.
func (res *Result) offer(requests []*Request) {
	for _, req := range requests {
		if !req.comeback {
			res.tier(req).Offered++
			res.Own += req.Prompt - req.Shared
		}
	}
	slices.SortFunc(res.Tiers, func(a, b TierResult) int { return cmp.Compare(a.Rank, b.Rank) })
}

func (res *Result) tier(req *Request) *TierResult {
	at := slices.IndexFunc(res.Tiers, func(tier TierResult) bool { return tier.Tier == req.Tier })
	if at < 0 {
		res.Tiers = append(res.Tiers, TierResult{Tier: req.Tier, Rank: req.Rank})
		at = len(res.Tiers) - 1
	}
	return &res.Tiers[at]
}

func (res *Result) measure(tri *trial) {
	res.Load = tri.scenario.Load
	res.offer(tri.requests)
	told, toldAt := 0, 0.0
	for _, req := range tri.requests {
		res.addWaste(req)
		if req.comeback {
			res.Back.Came++
			res.Back.Served += count(req.fate == served)
			continue
		}
		tier := res.tier(req)
		tier.Served += count(req.fate == served)
		tier.Late += count(req.fate == late || req.fate == pending)
		tier.Refused += count(req.fate == refused)
		tier.Expired += count(req.fate == expired)
		tier.Preempted += count(req.fate == preempted)
		if req.fate == refused || req.fate == preempted {
			told++
			toldAt += float64(req.ended.Sub(req.Arrived)) / float64(req.Deadline.Sub(req.Arrived))
		}
	}
	for _, tier := range res.Tiers {
		res.AllServed += tier.Served
	}
	res.Told = ratio(told, res.Offered()-res.AllServed)
	res.ToldAt = toldAt / float64(max(told, 1))
	res.Fairness = fairness(tri)
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// addWaste charges a prompt that was computed in vain to what made it so. One that was
// served is charged for the blocks that had been computed before.
func (res *Result) addWaste(req *Request) {
	if req.job == nil || !req.job.begun {
		return
	}
	switch req.fate {
	case served:
		res.Waste.Evicted += req.job.again.evicted
		res.Waste.Elsewhere += req.job.again.elsewhere
	case preempted:
		res.Waste.Cancelled += req.job.computed
	default:
		res.Waste.Dropped += req.job.computed
	}
}

// leastAsked keeps accounts with a handful of requests, whose luck says nothing, out
// of the measure of fairness.
const leastAsked = 30

// fairness compares what each account got with a weighted max-min share of what its
// tier got, in answer and prompt tokens, and returns the least part.
func fairness(tri *trial) float64 {
	least := 1.0
	for rank := range 3 {
		for _, shr := range shares(tri, rank) {
			if shr.asked >= leastAsked && shr.fair > 0 {
				least = min(least, shr.got/shr.fair)
			}
		}
	}
	return least
}

// accountShare is one account's part of a tier's work.
type accountShare struct {
	weight    float64
	asked     int
	want, got float64
	fair      float64
}

func shares(tri *trial, rank int) []*accountShare {
	byName := map[yuccaid.Account]*accountShare{}
	var list []*accountShare
	for _, acc := range tri.scenario.Deployment.Accounts {
		shr := &accountShare{weight: float64(acc.Weight)}
		byName[acc.Name] = shr
		list = append(list, shr)
	}
	total := 0.0
	for _, req := range tri.requests {
		if req.Rank != rank || req.comeback {
			continue
		}
		work := float64(req.Prompt + req.Answer)
		shr := byName[req.Account]
		shr.asked++
		shr.want += work
		if req.fate == served {
			shr.got += work
			total += work
		}
	}
	pour(list, total)
	return list
}

// pour fills fair shares by weight until each has what it wants or nothing is left.
func pour(list []*accountShare, total float64) {
	open := slices.Clone(list)
	slices.SortStableFunc(open, func(a, b *accountShare) int { return cmp.Compare(a.want/a.weight, b.want/b.weight) })
	weights := 0.0
	for _, shr := range open {
		weights += shr.weight
	}
	for _, shr := range open {
		shr.fair = math.Min(shr.want, total*shr.weight/weights)
		total -= shr.fair
		weights -= shr.weight
	}
}
