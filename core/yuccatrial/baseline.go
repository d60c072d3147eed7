package yuccatrial

import (
	"math/rand/v2"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
)

// The baselines dispatch each request as it arrives, at any daemon, to a target of
// its own data centre. They refuse nothing: the engine's queue holds what has to wait,
// and a request that is late is cancelled at its deadline.

// RoundRobin gives each daemon's requests to the targets in turn.
func RoundRobin() Policy {
	return Policy{Name: "round robin", Start: each(func(pool *Pool) Hooks {
		next := make([]int, len(pool.daemons))
		return Hooks{Arrive: func(req *Request) {
			next[req.Daemon]++
			pool.Dispatch(req, pool.Engines[(next[req.Daemon]+req.Daemon)%len(pool.Engines)])
		}}
	})}
}

// LeastOutstanding gives a request to the target that has the fewest of its own
// daemon's requests.
func LeastOutstanding() Policy {
	return Policy{Name: "least outstanding", Start: each(func(pool *Pool) Hooks {
		own := newTally(pool)
		return Hooks{
			Arrive: func(req *Request) {
				best := pool.Engines[0]
				for _, eng := range pool.Engines {
					if own.of(req, eng) < own.of(req, best) {
						best = eng
					}
				}
				own.dispatch(pool, req, best)
			},
			Ended: own.ended,
		}
	})}
}

// PowerOfTwo draws two targets and takes the one whose last report, and what its own
// daemon sent since, says less.
func PowerOfTwo(seed uint64) Policy {
	return Policy{Name: "power of two", Start: each(func(pool *Pool) Hooks {
		rng := rand.New(rand.NewPCG(seed, 3))
		own := newTally(pool)
		reported := map[yuccaid.Target]int{}
		since := make([]map[yuccaid.Target]int, len(pool.daemons))
		for i := range since {
			since[i] = map[yuccaid.Target]int{}
		}
		load := func(req *Request, eng *Engine) int { return reported[eng.Name] + since[req.Daemon][eng.Name] }
		return Hooks{
			Readers: len(pool.daemons),
			Arrive: func(req *Request) {
				one := pool.Engines[rng.IntN(len(pool.Engines))]
				two := pool.Engines[rng.IntN(len(pool.Engines))]
				if load(req, two) < load(req, one) {
					one = two
				}
				since[req.Daemon][one.Name]++
				own.dispatch(pool, req, one)
			},
			Ended: own.ended,
			Report: func(report yuccapool.LoadReport) {
				reported[report.Target] = report.Waiting + report.Running
				for _, sent := range since {
					sent[report.Target] = 0
				}
			},
		}
	})}
}

func each(start func(pool *Pool) Hooks) func([]*Pool) []Hooks {
	return func(pools []*Pool) []Hooks {
		hooks := make([]Hooks, len(pools))
		for i, pool := range pools {
			hooks[i] = start(pool)
		}
		return hooks
	}
}

// tally counts what each daemon has outstanding at each target.
type tally []map[*Engine]int

func newTally(pool *Pool) tally {
	tly := make(tally, len(pool.daemons))
	for i := range tly {
		tly[i] = map[*Engine]int{}
	}
	return tly
}

func (tly tally) of(req *Request, eng *Engine) int { return tly[req.Daemon][eng] }

func (tly tally) dispatch(pool *Pool, req *Request, eng *Engine) {
	if pool.Dispatch(req, eng) {
		tly[req.Daemon][eng]++
	}
}

func (tly tally) ended(req *Request) { tly[req.Daemon][req.engine]-- }
