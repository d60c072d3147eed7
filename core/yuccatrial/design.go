package yuccatrial

import (
	"math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
)

const (
	// detectAfter is how long daemons take to see that a leader is gone.
	detectAfter = 3 * time.Second
	// askFarAfter is the part of its time that a request waits before another data
	// centre is asked. Sooner, requests leave a cache and pay for the link although
	// their turn was next; later, nothing is left of their time.
	askFarAfter = 0.15
	// gatherFor is how long a new leader gathers before it grants: one heartbeat.
	gatherFor = time.Second
)

// leadersName is the name of the policy that the daemons use.
const leadersName = "leader"

// Leaders has one leader for each pool of a data centre, as the daemons do it. A
// request that its own leader refuses, or has not granted after a part of its time, is
// asked for at the next data centre as well. The first grant is used and others are
// given back.
func Leaders(seed uint64) Policy {
	return Policy{Name: leadersName, Start: func(pools []*Pool) []Hooks { return startSeats(seed, pools, true) }}
}

// LeadersAtHome is Leaders without asking other data centres.
func LeadersAtHome(seed uint64) Policy {
	return Policy{Name: "leader, own centre", Start: func(pools []*Pool) []Hooks { return startSeats(seed, pools, false) }}
}

func startSeats(seed uint64, pools []*Pool, spill bool) []Hooks {
	seats := map[*Pool]*seat{}
	hooks := make([]Hooks, len(pools))
	for i, pool := range pools {
		st := newSeat(pool, pool.Engines, pool.daemons[0], rand.New(rand.NewPCG(seed, uint64(i))))
		st.seats = seats
		st.spill = spill
		seats[pool] = st
		hooks[i] = st.hooks()
	}
	return hooks
}

// NoLeader has each daemon lead for itself over its own share of the targets, as it
// does when it reaches no leader.
func NoLeader(seed uint64) Policy {
	return Policy{Name: "no leader", Start: each(func(pool *Pool) Hooks {
		alone := make([]*seat, len(pool.daemons))
		for i, inc := range pool.daemons {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			alone[i] = newSeat(pool, share(pool.Engines, i, len(pool.daemons)), inc, rng)
		}
		forward := func(to func(st *seat, req *Request)) func(*Request) {
			return func(req *Request) { to(alone[req.Daemon], req) }
		}
		return Hooks{
			Readers:    len(alone),
			Arrive:     forward((*seat).arrive),
			FirstToken: forward((*seat).firstToken),
			Progress:   forward((*seat).progress),
			Ended:      forward((*seat).ended),
			Gone:       forward((*seat).gone),
			Report: func(report yuccapool.LoadReport) {
				for _, st := range alone {
					st.report(report)
				}
			},
			Cache: func(event yuccapool.CacheEvent) {
				for _, st := range alone {
					st.cache(event)
				}
			},
			Tick: func() {
				for _, st := range alone {
					st.tick()
				}
			},
		}
	})}
}

// share deals targets out to daemons; with fewer targets than daemons some share one.
func share(engines []*Engine, daemon, of int) []*Engine {
	if len(engines) < of {
		return engines[daemon%len(engines):][:1]
	}
	var mine []*Engine
	for i, eng := range engines {
		if i%of == daemon {
			mine = append(mine, eng)
		}
	}
	return mine
}

// seat is a leader in its place between owners and targets.
type seat struct {
	pool    *Pool
	engines []*Engine
	self    yuccaid.Incarnation
	rng     *rand.Rand
	lead    *yuccapool.Leader // nil while nobody leads
	live    []*Request        // asked here and, when last looked through, not ended
	looked  int               // length of live after that
	seats   map[*Pool]*seat
	spill   bool
}

func newSeat(pool *Pool, engines []*Engine, self yuccaid.Incarnation, rng *rand.Rand) *seat {
	st := &seat{pool: pool, engines: engines, self: self, rng: rng}
	st.elect()
	return st
}

func (st *seat) hooks() Hooks {
	return Hooks{
		Readers: 1, Arrive: st.arrive, FirstToken: st.firstToken, Progress: st.progress, Ended: st.ended,
		Gone: st.gone, Report: st.report, Cache: st.cache, Tick: st.tick, Lose: st.lose, Cut: st.severed,
	}
}

func (st *seat) elect() {
	st.lead = yuccapool.New(st.pool.Name, st.self, st.rng)
	view := yuccapool.PoolConfig{
		ConfigNumber: 1, PlainService: st.pool.Plain, LongestRun: 5 * time.Minute,
		Accounts: map[yuccaid.Account]yuccapool.AccountConfig{},
	}
	for _, eng := range st.engines {
		view.Targets = append(view.Targets, yuccapool.Target{
			Name: eng.Name, Slots: eng.Slots, Prefill: eng.Prefill, Decode: eng.Decode, Cache: eng.Cache,
		})
	}
	for _, acc := range st.pool.trial.scenario.Deployment.Accounts {
		view.Accounts[acc.Name] = yuccapool.AccountConfig{Weight: acc.Weight}
	}
	st.apply(st.lead.Configure(st.pool.Now(), view))
}

// lose drops the leader's memory. Once daemons have seen that it is gone, a new one
// gathers what they hold.
func (st *seat) lose() {
	st.lead = nil
	st.pool.After(detectAfter, func() {
		st.elect()
		now := st.pool.Now()
		st.lead.HoldGrantsUntil(now, now.Add(gatherFor))
		st.prune()
		for _, req := range st.live {
			if req.waiting() {
				st.offer(req)
				continue
			}
			held := yuccapool.Running{Request: req.ask(now), Target: req.engine.Name, Answered: req.Answered()}
			st.tell(req, &held, func(lead *yuccapool.Leader, now time.Time) yuccapool.Decisions {
				lead.AddRunning(now, held)
				return yuccapool.Decisions{}
			})
		}
	})
}

// severed gives up on owners behind a cut once it is seen. Their messages are lost for
// good, so what they had granted would fill the targets here, in the leader's view,
// for the longest run; and they would wait for grants that can't arrive.
func (st *seat) severed() {
	st.pool.After(detectAfter, func() {
		for _, peer := range st.pool.peers {
			if st.pool.severed(peer) {
				st.dropOwners(peer)
			}
		}
		st.prune()
		for _, req := range slices.Clone(st.live) {
			if st.pool.severed(req.home) {
				st.refuse(req, yuccapool.Refusal{ID: req.ID})
			}
		}
	})
}

func (st *seat) dropOwners(peer *Pool) {
	for _, inc := range peer.daemons {
		if st.lead != nil {
			st.apply(st.lead.DropOwner(st.pool.Now(), inc))
		}
	}
}

// remember lists a request, and drops those that ended once the list has doubled.
func (st *seat) remember(req *Request) {
	if len(st.live) > 2*st.looked+100 {
		st.prune()
	}
	st.live = append(st.live, req)
}

func (st *seat) prune() {
	st.live = slices.DeleteFunc(st.live, func(req *Request) bool { return req.fate != pending })
	st.looked = len(st.live)
}

// tell sends a message from the request's owner to the leader; nobody gets it while
// nobody leads.
func (st *seat) tell(req *Request, message any, do func(lead *yuccapool.Leader, now time.Time) yuccapool.Decisions) {
	req.home.sendTo(st.pool, message, func() {
		if st.lead != nil {
			st.apply(do(st.lead, st.pool.Now()))
		}
	})
}

func (st *seat) arrive(req *Request) {
	st.offer(req)
}

func (st *seat) offer(req *Request) {
	if !slices.Contains(req.asked, st) {
		st.remember(req)
		req.asked = append(req.asked, st)
		st.askFarLater(req)
	}
	ask := req.ask(st.pool.Now())
	st.tell(req, &ask, func(lead *yuccapool.Leader, now time.Time) yuccapool.Decisions {
		if !req.waiting() {
			return yuccapool.Decisions{}
		}
		return lead.Submit(now, ask)
	})
}

// askFarLater asks another data centre if nobody has granted the request by then.
func (st *seat) askFarLater(req *Request) {
	if !st.spill {
		return
	}
	left := req.Deadline.Sub(st.pool.Now())
	st.pool.After(time.Duration(askFarAfter*float64(left)), func() {
		if req.waiting() {
			st.askFar(req)
		}
	})
}

// askFar asks the next data centre in reach and reports false if there is none.
func (st *seat) askFar(req *Request) bool {
	for st.spill && req.tried < len(req.home.peers) {
		peer := req.home.peers[req.tried]
		req.tried++
		if !peer.severed(req.home) {
			st.seats[peer].offer(req)
			return true
		}
	}
	return false
}

func (st *seat) gone(req *Request) {
	for _, asked := range req.asked {
		asked.withdraw(req)
	}
}

func (st *seat) withdraw(req *Request) {
	st.tell(req, req.ID, func(lead *yuccapool.Leader, now time.Time) yuccapool.Decisions {
		return lead.Withdraw(now, req.ID)
	})
}

func (st *seat) firstToken(req *Request) {
	st.tellProgress(req, yuccapool.Progress{ID: req.ID, FirstToken: true, Answered: 1})
}

func (st *seat) progress(req *Request) {
	st.tellProgress(req, yuccapool.Progress{ID: req.ID, Answered: req.Answered()})
}

func (st *seat) tellProgress(req *Request, prg yuccapool.Progress) {
	req.granted.tell(req, &prg, func(lead *yuccapool.Leader, now time.Time) yuccapool.Decisions {
		return lead.RunProgressed(now, prg)
	})
}

func (st *seat) ended(req *Request) {
	fin := yuccapool.Finished{ID: req.ID, Target: req.engine.Name, Ran: req.job != nil}
	if job := req.job; job != nil {
		fin.Prompt, fin.Cached, fin.Answer = req.Prompt, job.cached, req.Answer
		if job.decoding {
			fin.Prefill = job.first.Sub(job.began)
			fin.Decode = req.ended.Sub(job.first)
		}
		if req.fate != served && req.fate != late {
			fin.Answer = req.Answered()
		}
	}
	req.granted.tellFinished(req, fin)
}

func (st *seat) tellFinished(req *Request, fin yuccapool.Finished) {
	st.tell(req, &fin, func(lead *yuccapool.Leader, now time.Time) yuccapool.Decisions {
		return lead.RunFinished(now, fin)
	})
}

func (st *seat) report(report yuccapool.LoadReport) {
	if st.lead != nil {
		st.apply(st.lead.ApplyReport(st.pool.Now(), report))
	}
}

func (st *seat) cache(event yuccapool.CacheEvent) {
	if st.lead != nil {
		st.lead.ApplyCacheEvent(st.pool.Now(), event)
	}
}

func (st *seat) tick() {
	if st.lead != nil {
		st.apply(st.lead.Tick(st.pool.Now()))
	}
}

// apply carries decisions to the owners.
func (st *seat) apply(dec yuccapool.Decisions) {
	for _, cancel := range dec.Cancels {
		st.reply(cancel.ID, &cancel, func(req *Request) { st.pool.Preempt(req) })
	}
	for _, refusal := range dec.Refusals {
		st.reply(refusal.ID, &refusal, func(req *Request) { st.refuse(req, refusal) })
	}
	for _, grant := range dec.Grants {
		sent := st.pool.Now()
		st.reply(grant.ID, &grant, func(req *Request) { st.use(req, grant, sent) })
	}
}

func (st *seat) reply(id yuccaid.RequestID, message any, do func(req *Request)) {
	req := st.pool.trial.byID[id]
	st.pool.sendTo(req.home, message, func() { do(req) })
}

// refuse passes a refusal on, unless another data centre was asked or can be.
func (st *seat) refuse(req *Request, refusal yuccapool.Refusal) {
	if !req.waiting() {
		return
	}
	if req.back == 0 || refusal.RetryAfter > 0 && refusal.RetryAfter < req.back {
		req.back = refusal.RetryAfter
	}
	req.asked = slices.DeleteFunc(req.asked, func(other *seat) bool { return other == st })
	if len(req.asked) == 0 && !st.askFar(req) {
		st.pool.Refuse(req, req.back)
	}
}

// use dispatches on a grant, unless it comes too late or another one was used.
func (st *seat) use(req *Request, grant yuccapool.Grant, sent time.Time) {
	eng := st.engine(grant.Target)
	if st.pool.Now().Sub(sent) >= grant.ValidFor || !st.pool.Dispatch(req, eng) {
		if req.engine != eng {
			st.tellFinished(req, yuccapool.Finished{ID: req.ID, Target: grant.Target})
		}
		return
	}
	req.granted = st
	st.tellProgress(req, yuccapool.Progress{ID: req.ID})
	for _, other := range req.asked {
		if other != st {
			other.withdraw(req)
		}
	}
}

func (st *seat) engine(name yuccaid.Target) *Engine {
	at := slices.IndexFunc(st.engines, func(eng *Engine) bool { return eng.Name == name })
	return st.engines[at]
}
