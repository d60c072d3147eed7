package yuccatrial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// Scenario is a deployment, a load on it and what goes wrong.
type Scenario struct {
	Name       string
	Deployment Deployment
	Load       float64 // of the capacity: 1 keeps every target busy
	Duration   time.Duration
	ReportLag  time.Duration
	CacheLoss  float64 // share of cache events that are lost

	Burst       Window  // arrivals are BurstFactor times as many
	BurstFactor float64 // in the whole deployment
	Skew        float64 // share of arrivals that come from the first account
	SkewCentre  float64 // share of arrivals that come to the first data centre
	SkewPool    float64 // share of arrivals that go to the first pool
	LongShare   float64 // share of arrivals that are as long as they get
	NoReports   Window

	faults []engineFault
	events []event
}

// Window is a span of a run.
type Window struct{ From, To time.Duration }

func (win Window) holds(now time.Time) bool {
	passed := now.Sub(epoch)
	return passed >= win.From && passed < win.To
}

type engineFault struct {
	pool  int
	index int
	after time.Duration
	speed float64
}

type event struct {
	after time.Duration
	do    func(tri *trial)
}

func (scn *Scenario) reportsMissing(now time.Time) bool {
	return scn.NoReports.holds(now)
}

// build makes the pools and draws the requests.
func (scn *Scenario) build(seed uint64, tri *trial) []*Request {
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range scn.Deployment.Centres {
		for _, spec := range scn.Deployment.Pools {
			tri.pools = append(tri.pools, scn.pool(tri, i, spec, rng))
		}
	}
	linkPeers(tri.pools)
	for _, flt := range scn.faults {
		pool := tri.pools[flt.pool]
		eng := pool.Engines[flt.index%len(pool.Engines)]
		eng.faults = append(eng.faults, fault{at: epoch.Add(flt.after), speed: flt.speed})
	}
	src := newSource(scn, rng, tri.pools)
	return src.draw()
}

// unlike is how far an engine's real speed lies from what its kind is said to have.
const unlike = 0.1

func (scn *Scenario) pool(tri *trial, at int, spec PoolSpec, rng *rand.Rand) *Pool {
	centre := scn.Deployment.Centres[at]
	pool := &Pool{
		Name: spec.Name, Centre: centre.Name, Region: centre.Region, Plain: spec.Plain,
		agenda: tri.agenda, trial: tri, blocks: blockBook{},
	}
	for i := range centre.Daemons {
		vm := yuccaid.VM(fmt.Sprintf("%s-vm-%d", centre.Name, i))
		pool.daemons = append(pool.daemons, yuccaid.NewIncarnation(vm, [16]byte{byte(i), 1}))
	}
	for i := range spec.replicas(at) {
		kind := spec.Kinds[i%len(spec.Kinds)]
		eng := &Engine{
			Name:  yuccaid.Target(fmt.Sprintf("%s-%s-%d", spec.Name, centre.Name, i)),
			Slots: kind.Slots, Prefill: kind.Prefill, Decode: kind.Decode, Cache: kind.Cache,
			batching: 1, speed: 1 + unlike*(2*rng.Float64()-1), pool: pool, advanced: epoch,
			cache: newPrefixCache(int(kind.Cache / yuccaqueue.BlockTokens)),
		}
		if spec.Plain {
			eng.batching = 0
		}
		pool.Engines = append(pool.Engines, eng)
	}
	return pool
}

// linkPeers tells each pool its likes in other data centres, those of its own region
// first.
func linkPeers(pools []*Pool) {
	for _, pool := range pools {
		for _, other := range pools {
			if other != pool && other.Name == pool.Name {
				pool.peers = append(pool.peers, other)
			}
		}
		slices.SortStableFunc(pool.peers, func(a, b *Pool) int {
			return int(pool.delayTo(a) - pool.delayTo(b))
		})
	}
}

// source draws a scenario's requests.
type source struct {
	scn      *Scenario
	rng      *rand.Rand
	pools    []*Pool
	key      yuccaid.Key
	prefixes map[string][]uint64
	count    uint64
}

func newSource(scn *Scenario, rng *rand.Rand, pools []*Pool) *source {
	return &source{scn: scn, rng: rng, pools: pools, key: yuccaid.Key("trial"), prefixes: map[string][]uint64{}}
}

// draw returns requests in order of arrival, a Poisson process at the load's rate.
func (src *source) draw() []*Request {
	rate := src.rate()
	var requests []*Request
	for at := time.Duration(0); ; {
		factor := 1.0
		if src.scn.BurstFactor > 0 && src.scn.Burst.holds(epoch.Add(at)) {
			factor = src.scn.BurstFactor
		}
		at += time.Duration(src.rng.ExpFloat64() / (rate * factor) * float64(time.Second))
		if at >= src.scn.Duration {
			return requests
		}
		requests = append(requests, src.named(src.request(epoch.Add(at))))
	}
}

// sample is how many requests are drawn to learn the mean work of one.
const sample = 4000

// rate returns the arrivals a second at which the drafting targets are busy to the
// scenario's load, if most shared prefixes are cached and every batch is full.
func (src *source) rate() float64 {
	probe := *src
	probe.rng = rand.New(rand.NewPCG(7, 7))
	work := 0.0
	for range sample {
		req := probe.request(epoch)
		if !req.home.Plain {
			work += req.home.Engines[0].work(req) * req.home.Engines[0].speed / req.home.meanSpeed()
		}
	}
	capacity := 0.0
	for _, pool := range src.pools {
		if !pool.Plain {
			capacity += float64(len(pool.Engines))
		}
	}
	return src.scn.Load * capacity / (work / sample)
}

// hitShare is the part of shared prefixes that counts as cached for the load. All of
// it would call a load usual that no cache of this size can bear.
const hitShare = 0.7

// work is the time of the engine that the request takes in a full batch, at its real
// speed.
func (eng *Engine) work(req *Request) float64 {
	cached := yuccaid.Tokens(hitShare * float64(req.Shared))
	prefill := eng.Prefill.Duration(req.Prompt - cached).Seconds()
	decode := float64(req.Answer) / eng.throughput()
	return (prefill + decode) / eng.speed
}

// meanSpeed is that of the pool's targets, as a factor of its first one's.
func (pool *Pool) meanSpeed() float64 {
	sum := 0.0
	for _, eng := range pool.Engines {
		sum += eng.relative() * eng.speed
	}
	return sum / float64(len(pool.Engines))
}

// relative is the engine's speed as built, as a factor of the pool's first one's.
func (eng *Engine) relative() float64 {
	return float64(eng.Decode) / float64(eng.pool.Engines[0].Decode)
}

func (src *source) request(at time.Time) *Request {
	dep := &src.scn.Deployment
	mix := pick(src.rng, dep.Mix, func(mix Mix) float64 { return mix.Share })
	acc := pick(src.rng, dep.Accounts, func(acc AccountSpec) float64 { return acc.Share })
	if src.rng.Float64() < src.scn.Skew {
		acc = dep.Accounts[0]
	}
	home := src.home(mix)
	req := &Request{
		Account: acc.Name, Tier: mix.Tier.Name, Rank: mix.Tier.Rank, Operation: mix.Operation,
		Idempotent: !home.Plain, Arrived: at, Deadline: at.Add(mix.Deadline),
		Daemon: src.rng.IntN(len(home.daemons)), home: home,
	}
	src.lengths(req, mix)
	return req
}

// named gives a request an id as its owner would, of the real length.
func (src *source) named(req *Request) *Request {
	src.count++
	issuer := yuccaid.RequestIDFields{Owner: req.home.daemons[req.Daemon], Counter: src.count, Issued: req.Arrived}
	req.ID = issuer.Sign(src.key)
	return req
}

// home picks the data centre, and the pool by its size if the mix names none.
func (src *source) home(mix Mix) *Pool {
	dep := &src.scn.Deployment
	centre := src.rng.IntN(len(dep.Centres))
	if src.rng.Float64() < src.scn.SkewCentre {
		centre = 0
	}
	of := len(dep.Pools)
	pool := slices.IndexFunc(dep.Pools, func(spec PoolSpec) bool { return spec.Name == mix.Pool })
	if pool < 0 {
		pool = weighted(src.rng, dep.Pools, func(spec PoolSpec) float64 { return float64(spec.replicas(centre)) })
	}
	if mix.Pool == "" && src.rng.Float64() < src.scn.SkewPool {
		pool = 0
	}
	return src.pools[centre*of+pool]
}

// lengths draws a prompt with its shared beginning, and an answer.
func (src *source) lengths(req *Request, mix Mix) {
	own := mix.Prompt.draw(src.rng)
	answer := mix.Answer.draw(src.rng)
	if src.rng.Float64() < src.scn.LongShare {
		own, answer = mix.Prompt.Most, mix.Answer.Most
	}
	which := int(float64(mix.Families) * math.Pow(src.rng.Float64(), 2)) // a few are asked for most
	if mix.Shared > 0 {
		req.Shared = mix.Shared / yuccaqueue.BlockTokens * yuccaqueue.BlockTokens
	}
	req.Prompt = req.Shared + yuccaid.Tokens(own)
	req.Answer = yuccaid.Tokens(max(answer, 1))
	req.Estimate = yuccaid.Tokens(mix.Answer.mean())
	family := fmt.Sprint(req.home.Name, mix.Operation, which)
	req.Prefixes = append(req.Prefixes, src.family(family, int(req.Shared/yuccaqueue.BlockTokens))...)
	for range int(yuccaid.Tokens(own) / yuccaqueue.BlockTokens) {
		req.Prefixes = append(req.Prefixes, src.rng.Uint64())
	}
}

func (src *source) family(name string, blocks int) []uint64 {
	if src.prefixes[name] == nil {
		for range blocks {
			src.prefixes[name] = append(src.prefixes[name], src.rng.Uint64())
		}
	}
	return src.prefixes[name]
}

// pick draws an element by weight.
func pick[T any](rng *rand.Rand, from []T, weight func(T) float64) T {
	return from[weighted(rng, from, weight)]
}

func weighted[T any](rng *rand.Rand, from []T, weight func(T) float64) int {
	sum := 0.0
	for _, one := range from {
		sum += weight(one)
	}
	at := rng.Float64() * sum
	for i, one := range from {
		if at -= weight(one); at < 0 {
			return i
		}
	}
	return len(from) - 1
}

// Length is a log-normal length with bounds.
type Length struct {
	Median, Spread float64
	Least, Most    float64
}

func (len Length) draw(rng *rand.Rand) float64 {
	drawn := len.Median * math.Exp(len.Spread*rng.NormFloat64())
	return math.Round(min(max(drawn, len.Least), len.Most))
}

func (len Length) mean() float64 {
	return len.Median * math.Exp(len.Spread*len.Spread/2)
}
