package yuccatrial

import (
	"math"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// Engine is the fake of one target.
//
// It admits in order of arrival into its slots, computes one prompt at a time and
// decodes all others together. Its time is shared: with n of S slots decoding, a
// prompt gets S/(S+n) of it and the answers the rest. One answer alone comes at the
// decode rate, n of them at 1/(1+batching*(n-1)/S) of it each. So every instant goes
// to prefill or to decoding, and the most that it can do in a second is known.
type Engine struct {
	Name     yuccaid.Target
	Slots    int
	Prefill  yuccaid.TokenRate
	Decode   yuccaid.TokenRate
	Cache    yuccaid.Tokens
	batching float64 // 0 for a plain service, whose slots don't slow each other
	speed    float64 // of the rates above: 1 is as built, 0 stalls

	pool     *Pool
	cache    *prefixCache
	queue    []*job
	running  []*job
	decoding int
	decoded  float64 // tokens that each decoding answer got since the start
	advanced time.Time
	version  int // of the planned step; others are void
	faults   []fault
}

// fault is a change of speed at a time.
type fault struct {
	at    time.Time
	speed float64
}

// job is one request inside an engine.
type job struct {
	req      *Request
	left     float64 // prompt tokens to compute
	cached   yuccaid.Tokens
	begun    bool
	decoding bool
	end      float64 // value of decoded at which the answer is whole
	began    time.Time
	first    time.Time
	computed yuccaid.Tokens
	again    recomputed
}

// submit takes a request in.
func (eng *Engine) submit(req *Request) {
	eng.advance()
	req.job = &job{req: req}
	eng.queue = append(eng.queue, req.job)
	eng.plan()
}

// cancel drops a request, wherever it is.
func (eng *Engine) cancel(req *Request) {
	eng.advance()
	same := func(one *job) bool { return one == req.job }
	eng.queue = slices.DeleteFunc(eng.queue, same)
	if slices.Contains(eng.running, req.job) {
		eng.leave(req.job)
	}
	eng.plan()
}

// setSpeed changes the speed, as a fault does.
func (eng *Engine) setSpeed(speed float64) {
	eng.advance()
	eng.speed = speed
	eng.plan()
}

func (eng *Engine) leave(one *job) {
	if one.decoding {
		eng.decoding--
	}
	one.computed = max(one.computed-yuccaid.Tokens(one.left), 0)
	eng.running = slices.DeleteFunc(eng.running, func(other *job) bool { return other == one })
}

// head is the job whose prompt is computed now.
func (eng *Engine) head() *job {
	for _, one := range eng.running {
		if !one.decoding {
			return one
		}
	}
	return nil
}

// rates returns tokens a second for the prompt and for each answer.
func (eng *Engine) rates() (prefill, decode float64) {
	share := 0.0
	if eng.head() != nil {
		share = float64(eng.Slots) / float64(eng.Slots+eng.decoding)
	}
	slow := 1 + eng.batching*float64(max(eng.decoding-1, 0))/float64(eng.Slots)
	return eng.speed * float64(eng.Prefill) * share, eng.speed * float64(eng.Decode) / slow * (1 - share)
}

// advance lets the time since the last call pass.
func (eng *Engine) advance() {
	now := eng.pool.agenda.now
	passed := now.Sub(eng.advanced).Seconds()
	eng.advanced = now
	prefill, decode := eng.rates()
	if head := eng.head(); head != nil {
		head.left = max(head.left-prefill*passed, 0)
	}
	eng.decoded += decode * passed
}

// settled is less than a token, against rounding.
const settled = 1e-3

// plan admits what fits, takes the steps that are due and schedules the next.
func (eng *Engine) plan() {
	for eng.step() {
	}
	eng.version++
	version := eng.version
	wait := eng.nextStep()
	if math.IsInf(wait, 1) {
		return
	}
	// A nanosecond more makes up for rounding, so that the step is due then.
	eng.pool.agenda.after(time.Duration(wait*float64(time.Second))+1, func() {
		if version == eng.version {
			eng.advance()
			eng.plan()
		}
	})
}

// step takes one step that is due and reports false if there is none.
func (eng *Engine) step() bool {
	if len(eng.queue) > 0 && len(eng.running) < eng.Slots {
		eng.running = append(eng.running, eng.queue[0])
		eng.queue = eng.queue[1:]
		return true
	}
	if head := eng.head(); head != nil && !head.begun {
		eng.begin(head)
		return true
	}
	if head := eng.head(); head != nil && head.left < settled {
		eng.firstToken(head)
		return true
	}
	for _, one := range eng.running {
		if one.decoding && one.end-eng.decoded < settled {
			eng.leave(one)
			eng.pool.finished(one.req)
			return true
		}
	}
	return false
}

func (eng *Engine) nextStep() float64 {
	prefill, decode := eng.rates()
	wait := math.Inf(1)
	if head := eng.head(); head != nil && prefill > 0 {
		wait = head.left / prefill
	}
	for _, one := range eng.running {
		if one.decoding && decode > 0 {
			wait = min(wait, (one.end-eng.decoded)/decode)
		}
	}
	return wait
}

func (eng *Engine) begin(one *job) {
	req := one.req
	blocks := eng.cache.cached(req.Prefixes)
	one.begun = true
	one.began = eng.pool.agenda.now
	one.cached = min(yuccaid.Tokens(blocks)*yuccaqueue.BlockTokens, req.Prompt)
	one.computed = req.Prompt - one.cached
	one.left = float64(one.computed)
	one.again = eng.pool.blocks.recomputed(req.Prefixes[blocks:])
	eng.pool.store(eng, req.Prefixes)
}

func (eng *Engine) firstToken(one *job) {
	one.decoding = true
	one.first = eng.pool.agenda.now
	one.end = eng.decoded + float64(one.req.Answer)
	eng.decoding++
	eng.pool.firstToken(one.req)
}

// throughput is the most tokens of answers that the engine decodes in a second.
func (eng *Engine) throughput() float64 {
	slots := float64(eng.Slots)
	return slots * float64(eng.Decode) / (1 + eng.batching*(slots-1)/slots)
}
