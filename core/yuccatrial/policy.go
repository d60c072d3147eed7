package yuccatrial

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
)

// Policy is one way to place and refuse requests. Start is called once for a run and
// returns the hooks of each pool.
type Policy struct {
	Name  string
	Start func(pools []*Pool) []Hooks
}

// Hooks is what a policy does at one pool; nil ones are left out. Each is called at
// the daemon that sees the event, so a policy has to pay for telling others.
type Hooks struct {
	Readers    int // daemons that read the load reports and cache events
	Arrive     func(req *Request)
	FirstToken func(req *Request)
	Progress   func(req *Request)
	Ended      func(req *Request) // a dispatched request ended, whole or not
	Gone       func(req *Request) // a waiting request's deadline passed
	Report     func(report yuccapool.LoadReport)
	Cache      func(event yuccapool.CacheEvent)
	Tick       func()
	Lose       func() // the process that leads the pool dies
	Cut        func() // the data centre, or another one, was cut off
}

// Pool is the targets of one model or plain service in one data centre, and the
// daemons that serve its callers.
type Pool struct {
	Name    yuccaid.Pool
	Centre  yuccaid.Centre
	Region  yuccaid.Region
	Plain   bool
	Engines []*Engine

	agenda  *agenda
	trial   *trial
	daemons []yuccaid.Incarnation
	hooks   Hooks
	blocks  blockBook
	peers   []*Pool // the same pool in other data centres, nearest first
	cut     bool    // cut off from other data centres
}

const (
	// nearDelay is the one-way delay inside a data centre and to its targets.
	nearDelay = time.Millisecond
	// farDelay is the one-way delay between regions.
	farDelay = 30 * time.Millisecond
	// tokenBytes is what a token of text takes on the wire, about.
	tokenBytes = 4
)

// Now is the present virtual time.
func (pool *Pool) Now() time.Time {
	return pool.agenda.now
}

// After calls do later.
func (pool *Pool) After(delay time.Duration, do func()) {
	pool.agenda.after(delay, do)
}

// Send carries a control message inside the data centre.
func (pool *Pool) Send(message any, do func()) {
	pool.sendTo(pool, message, do)
}

// sendTo carries a control message to another data centre, unless one is cut off.
func (pool *Pool) sendTo(peer *Pool, message any, do func()) {
	pool.trial.count(message, 1)
	delay := pool.delayTo(peer)
	if !pool.severed(peer) {
		pool.agenda.after(delay, do)
	}
}

// severed reports whether nothing passes between two data centres.
func (pool *Pool) severed(peer *Pool) bool {
	return peer != pool && (pool.cut || peer.cut)
}

func (pool *Pool) delayTo(peer *Pool) time.Duration {
	if pool.Region == peer.Region {
		return nearDelay
	}
	return farDelay
}

// Dispatch sends a waiting request to a target and reports false if it has ended or
// was dispatched before.
func (pool *Pool) Dispatch(req *Request, eng *Engine) bool {
	if !req.waiting() {
		return false
	}
	req.engine = eng
	if eng.pool.Region != req.home.Region {
		pool.trial.result.CrossBytes += yuccaid.Bytes(req.Prompt+req.Answer) * tokenBytes
	}
	pool.agenda.after(req.home.delayTo(eng.pool), func() {
		if req.fate == pending {
			eng.submit(req)
		}
	})
	return true
}

// Refuse gives a waiting request its final answer.
func (pool *Pool) Refuse(req *Request, back time.Duration) {
	if !req.waiting() {
		return
	}
	pool.trial.noteShed(req)
	pool.trial.end(req, refused)
	pool.trial.comeBack(req, back)
}

// Preempt cancels a dispatched request for a higher tier.
func (pool *Pool) Preempt(req *Request) {
	if req.fate != pending || req.engine == nil || !req.Idempotent {
		return
	}
	pool.trial.stop(req, preempted)
}

// resumeEvery is how often an owner tries to fetch an answer from behind a cut.
const resumeEvery = time.Second

func (pool *Pool) finished(req *Request) {
	if pool.severed(req.home) {
		pool.agenda.after(resumeEvery, func() { pool.finished(req) })
		return
	}
	pool.agenda.after(req.home.delayTo(pool), func() {
		if req.fate != pending {
			return
		}
		if pool.agenda.now.After(req.Deadline) {
			pool.trial.end(req, late)
		} else {
			pool.trial.end(req, served)
		}
		req.home.ended(req)
	})
}

func (pool *Pool) ended(req *Request) {
	if pool.hooks.Ended != nil {
		pool.hooks.Ended(req)
	}
}

// progressEvery is how often an owner tells of a running answer.
const progressEvery = 2 * time.Second

func (pool *Pool) firstToken(req *Request) {
	home := req.home
	if home.hooks.FirstToken == nil {
		return
	}
	pool.agenda.after(home.delayTo(pool), func() {
		if req.fate == pending {
			home.hooks.FirstToken(req)
			home.progress(req)
		}
	})
}

func (pool *Pool) progress(req *Request) {
	pool.agenda.after(progressEvery, func() {
		if req.fate == pending {
			pool.hooks.Progress(req)
			pool.progress(req)
		}
	})
}

// store notes what an engine caches and tells the policy late.
func (pool *Pool) store(eng *Engine, prefixes []uint64) {
	stored, evicted := eng.cache.use(prefixes)
	pool.blocks.stored(stored, evicted)
	if pool.hooks.Cache == nil || len(stored)+len(evicted) == 0 {
		return
	}
	pool.trial.cacheEvent(pool, yuccapool.CacheEvent{Target: eng.Name, Stored: stored, Evicted: evicted})
}

// Answered is how many tokens of its answer a running request has.
func (req *Request) Answered() yuccaid.Tokens {
	if req.job == nil || !req.job.decoding {
		return 0
	}
	req.engine.advance()
	return req.Answer - yuccaid.Tokens(max(req.job.end-req.engine.decoded, 0))
}
