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
//   - every batch is full without slowing the answers that are in it, and shared
//     prefixes cost nothing, so a request takes its least possible work;
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
	first := grp.engines[0]
	one := &bounded{
		req:  req,
		work: first.work(req) * first.speed,
		from: int(req.Arrived.Sub(epoch) / grp.bin),
		to:   min(int((req.Deadline.Sub(epoch)-1)/grp.bin)+1, grp.bins),
	}
	if grp.leastTime(req) <= req.Deadline.Sub(req.Arrived).Seconds() {
		grp.requests = append(grp.requests, one)
	}
}

// leastTime is what the fastest target takes, idle, with the shared prefix cached.
func (grp *group) leastTime(req *Request) float64 {
	least := math.Inf(1)
	for _, eng := range grp.engines {
		took := eng.Prefill.Time(req.Prompt-req.Shared) + eng.Decode.Time(req.Answer)
		least = min(least, took.Seconds()/eng.mostSpeed())
	}
	return least
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
