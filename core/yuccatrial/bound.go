package yuccatrial

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// BoundName is the policy's name in the bound's results.
const BoundName = "clairvoyant bound"

// Bound returns what no policy can exceed in the scenario. It knows each arrival,
// length, speed and fault beforehand, and it is a bound since every rule that it drops
// or eases can only help:
//
//   - all targets of a pool, in all data centres, are one machine with their summed
//     speed; work is divided at will and messages take no time;
//   - shared prefixes cost nothing, and each request is decoded in the largest batch
//     in which it can still meet its deadline, so it takes its least possible work;
//   - requests are served in parts, and parts count; windows from arrival to deadline
//     are widened to whole bins;
//   - a request counts only if the fastest target, idle, could serve it in time.
//
// What is left, the most requests by parts on one divisible machine, is solved
// exactly: the work that such a machine can give is a polymatroid, for which taking
// the highest tier first and the least work first within it is optimal. Served by
// tier is thus the optimum for strict tiers, and for the highest tier a bound for any
// order. AllServed is the optimum without tiers.
func Bound(seed uint64, scenario Scenario) Result {
	tri := newTrial(seed, scenario)
	res := Result{Scenario: scenario.Name, Policy: BoundName, Seed: seed}
	res.offer(tri.requests)
	served := map[yuccaid.Tier]float64{}
	all := 0.0
	for _, group := range groups(tri) {
		for _, one := range group.solve(func(a, b *bounded) int { return cmp.Compare(a.req.Rank, b.req.Rank) }) {
			served[one.req.Tier] += one.part
		}
		for _, one := range group.solve(func(*bounded, *bounded) int { return 0 }) {
			all += one.part
		}
	}
	for i := range res.Tiers {
		res.Tiers[i].Served = int(math.Ceil(served[res.Tiers[i].Tier] - settled))
	}
	res.AllServed = int(math.Ceil(all - settled))
	return res
}

// bounded is a request as the bound sees it.
type bounded struct {
	req      *Request
	work     float64 // seconds of the reference engine
	from, to int     // bins
	part     float64 // of the request that is served
}

// group is the same pool in all data centres.
type group struct {
	engines  []*Engine
	requests []*bounded
	bin      time.Duration
	bins     int
}

const (
	// mostBins bounds the bound's cost, which grows with their square.
	mostBins = 300
	leastBin = time.Second
)

func groups(tri *trial) []*group {
	span := tri.scenario.Duration + settle
	bin := max(leastBin, span/mostBins)
	byName := map[yuccaid.Pool]*group{}
	var list []*group
	for _, pool := range tri.pools {
		if byName[pool.Name] == nil {
			byName[pool.Name] = &group{bin: bin, bins: int(span/bin) + 1}
			list = append(list, byName[pool.Name])
		}
		byName[pool.Name].engines = append(byName[pool.Name].engines, pool.Engines...)
	}
	for _, req := range tri.requests {
		byName[req.home.Name].add(req)
	}
	return list
}

func (grp *group) add(req *Request) {
	one := &bounded{
		req:  req,
		work: math.Inf(1),
		from: int(req.Arrived.Sub(epoch) / grp.bin),
		to:   min(int((req.Deadline.Sub(epoch)-1)/grp.bin)+1, grp.bins),
	}
	for _, eng := range grp.engines {
		one.work = min(one.work, eng.relativeTo(grp.engines[0])*eng.leastWork(req))
	}
	if !math.IsInf(one.work, 1) {
		grp.requests = append(grp.requests, one)
	}
}

// leastWork is the least part of the engine's time, at a speed of 1, that serves the
// request by its deadline, and infinite if it can't.
//
// A token costs 1/n of a step's time in a batch of n, and the step takes longer the
// larger n is. The time left for decoding bounds the mean batch, and since 1/n is
// convex, the constant batch of that size is the cheapest way.
func (eng *Engine) leastWork(req *Request) float64 {
	prefill := eng.Prefill.Duration(req.Prompt - req.Shared).Seconds()
	decode := eng.Decode.Duration(req.Answer).Seconds()
	left := req.Deadline.Sub(req.Arrived).Seconds()*eng.mostSpeed() - prefill
	if decode > left {
		return math.Inf(1)
	}
	batch := float64(eng.Slots)
	if eng.batching > 0 {
		batch = min(batch, 1+batch*(left/decode-1)/eng.batching)
	}
	return prefill + decode*(1+eng.batching*(batch-1)/float64(eng.Slots))/batch
}

func (eng *Engine) mostSpeed() float64 {
	most := eng.speed
	for _, flt := range eng.faults {
		most = max(most, flt.speed)
	}
	return most
}

// solve gives each request the largest part that those before it leave.
func (grp *group) solve(order func(a, b *bounded) int) []*bounded {
	list := slices.Clone(grp.requests)
	slices.SortStableFunc(list, func(a, b *bounded) int {
		return cmp.Or(order(a, b), cmp.Compare(a.work, b.work))
	})
	room := grp.room()
	for _, one := range list {
		given := min(room.least(one.from, one.to), one.work)
		room.take(one.from, one.to, given)
		one.part = given / one.work
	}
	return list
}

// room holds, for each span of bins, the work that can still be given to requests
// whose windows lie inside. By Hall's condition a request may get as much as the
// least of all spans around its window.
type room [][]float64

func (grp *group) room() room {
	upTo := make([]float64, grp.bins+1)
	for i := range grp.bins {
		for _, eng := range grp.engines {
			begin := time.Duration(i) * grp.bin
			upTo[i+1] += eng.relativeTo(grp.engines[0]) * eng.workIn(begin, begin+grp.bin)
		}
		upTo[i+1] += upTo[i]
	}
	left := make(room, grp.bins)
	for from := range left {
		left[from] = make([]float64, grp.bins+1)
		for to := from; to <= grp.bins; to++ {
			left[from][to] = upTo[to] - upTo[from]
		}
	}
	return left
}

func (eng *Engine) relativeTo(other *Engine) float64 {
	return float64(eng.Decode) / float64(other.Decode)
}

// workIn is the integral of the speed over a span; faults are in order of time.
func (eng *Engine) workIn(from, to time.Duration) float64 {
	sum, speed, at := 0.0, eng.speed, from
	for _, flt := range eng.faults {
		change := min(max(flt.at.Sub(epoch), at), to)
		sum += speed * (change - at).Seconds()
		at, speed = change, flt.speed
	}
	return sum + speed*(to-at).Seconds()
}

func (rom room) least(from, to int) float64 {
	least := math.Inf(1)
	for a := 0; a <= from; a++ {
		for _, left := range rom[a][to:] {
			least = min(least, left)
		}
	}
	return max(least, 0)
}

func (rom room) take(from, to int, work float64) {
	for a := 0; a <= from; a++ {
		row := rom[a][to:]
		for b := range row {
			row[b] -= work
		}
	}
}
