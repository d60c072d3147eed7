package yuccapeer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

const (
	// silence is after how long a connection that brings nothing is given up.
	silence = 3500 * time.Millisecond
	delay   = 30 * time.Millisecond
)

// world runs daemons on virtual time over a network that can do all that real ones do.
type world struct {
	now      time.Time
	step     time.Duration
	rng      *rand.Rand
	noisy    bool
	runs     []*run
	flying   []flight
	listings []yuccapeer.Listing
	unrest   time.Time
	nonces   uint64
	sent     func(from, to *run, beat yuccapeer.Message)
	broken   string
	// ended are the incarnations whose VM runs another now.
	ended map[yuccaid.Incarnation]bool
}

// run is one process.
type run struct {
	yuccapeer.Member
	peers  *yuccapeer.Peers
	side   int
	paused bool
	dead   bool
	number yuccaid.ConfigNumber
	bonds  map[yuccaid.Incarnation]*bond
	inbox  []func()
	heard  map[yuccaid.Incarnation]time.Time
	latest map[yuccaid.VM]yuccaid.Incarnation
	// gone ended and were replaced in this view, leaving said that they leave.
	gone, leaving map[yuccaid.Incarnation]bool
}

// bond is a connection between two runs.
type bond struct {
	ends   [2]*run
	heard  time.Time
	broken bool
}

// flight is a message on its way.
type flight struct {
	due      time.Time
	from, to *run
	over     *bond
	beat     yuccapeer.Message
}

// newWorld starts count daemons in each of the data centres.
func newWorld(seed uint64, step time.Duration, centres, count int) *world {
	wld := &world{now: time.Unix(1e6, 0), step: step, rng: rand.New(rand.NewPCG(seed, 0))}
	wld.sent = func(_, _ *run, _ yuccapeer.Message) {}
	wld.ended = make(map[yuccaid.Incarnation]bool)
	for i := range centres * count {
		wld.listings = append(wld.listings, yuccapeer.Listing{
			VM:      yuccaid.VM(fmt.Sprintf("vm-%03d", i)),
			Centre:  yuccaid.Centre(fmt.Sprintf("centre-%02d", i/count)),
			Address: fmt.Sprintf("10.0.%d.%d:7400", i/count, i%count),
		})
	}
	for _, listing := range wld.listings {
		wld.start(listing)
	}
	return wld
}

func (wld *world) start(listing yuccapeer.Listing) *run {
	wld.nonces++
	wld.disturbed(wld.now)
	self := yuccapeer.Member{
		VM: listing.VM, Centre: listing.Centre, Address: listing.Address,
		Incarnation: yuccaid.NewIncarnation(listing.VM, [16]byte{byte(wld.nonces), byte(wld.nonces >> 8)}),
	}
	one := &run{
		Member:  self,
		peers:   yuccapeer.New(self),
		bonds:   make(map[yuccaid.Incarnation]*bond),
		heard:   make(map[yuccaid.Incarnation]time.Time),
		latest:  make(map[yuccaid.VM]yuccaid.Incarnation),
		gone:    make(map[yuccaid.Incarnation]bool),
		leaving: make(map[yuccaid.Incarnation]bool),
	}
	one.peers.SetListings(wld.now, wld.listings)
	wld.runs = append(wld.runs, one)
	return one
}

// replace starts a successor on a process's VM, at the same address if the old process
// has died, else at a new one, which the platform's list then names.
func (wld *world) replace(old *run, died bool) {
	wld.ended[old.Incarnation] = true
	old.dead = died
	listing := yuccapeer.Listing{VM: old.VM, Centre: old.Centre, Address: old.Address}
	if !died {
		listing.Address = fmt.Sprintf("10.9.0.%d:7400", wld.nonces)
	}
	i := slices.IndexFunc(wld.listings, func(one yuccapeer.Listing) bool { return one.VM == old.VM })
	wld.listings[i] = listing
	for _, one := range wld.runs {
		one.peers.SetListings(wld.now, wld.listings)
	}
	wld.start(listing).side = old.side
}

// advance lets the steps pass.
func (wld *world) advance(steps int) {
	for range steps {
		wld.now = wld.now.Add(wld.step)
		for _, one := range wld.runs {
			wld.turn(one)
		}
		wld.land()
		wld.connect()
		wld.breakSilent()
	}
}

// disturbed notes that the network or a process misbehaved until then.
func (wld *world) disturbed(until time.Time) {
	if until.After(wld.unrest) {
		wld.unrest = until
	}
}

// turn gives one process its time. One that wakes up ticks before it reads anything.
func (wld *world) turn(one *run) {
	if one.paused || one.dead {
		return
	}
	wld.apply(one, one.peers.Tick(wld.now))
	for _, event := range one.inbox {
		event()
	}
	one.inbox = nil
}

func (wld *world) apply(one *run, change yuccapeer.Change) {
	for _, joined := range change.Joined {
		inc := joined.Incarnation
		if one.gone[inc] || (one.leaving[inc] && !joined.Leaving) {
			wld.broken = fmt.Sprintf("%s took %s back", one.VM, inc)
		}
		if before, ok := one.latest[joined.VM]; ok && before != inc && wld.ended[before] {
			one.gone[before] = true
		}
		one.latest[joined.VM] = inc
		one.leaving[inc] = joined.Leaving
	}
	for _, beat := range change.Messages {
		wld.send(one, beat)
	}
}

func (wld *world) send(from *run, beat yuccapeer.Message) {
	over := from.bonds[beat.To]
	if over == nil {
		return
	}
	to := over.ends[0]
	if to == from {
		to = over.ends[1]
	}
	wld.sent(from, to, beat)
	copies, late := 1, delay
	if wld.noisy {
		copies = []int{0, 1, 1, 1, 2}[wld.rng.IntN(5)]
		wld.disturbed(wld.now)
	}
	for range copies {
		if wld.noisy && wld.rng.IntN(4) == 0 {
			late = time.Duration(wld.rng.Int64N(int64(8 * time.Second)))
			wld.disturbed(wld.now.Add(late))
		}
		wld.flying = append(wld.flying, flight{due: wld.now.Add(late), from: from, to: to, over: over, beat: beat})
	}
}

// land brings in the messages that are due, unless their connection is gone.
func (wld *world) land() {
	wld.flying = slices.DeleteFunc(wld.flying, func(fly flight) bool {
		if wld.now.Before(fly.due) {
			return false
		}
		if !fly.over.broken && wld.reach(fly.from, fly.to) {
			fly.over.heard = wld.now
			fly.to.inbox = append(fly.to.inbox, func() { wld.take(fly) })
		}
		return true
	})
}

func (wld *world) take(fly flight) {
	one, from := fly.to, fly.from.Incarnation
	if one.bonds[from] != fly.over {
		return
	}
	one.heard[from] = wld.now
	if fly.beat.Heartbeat != nil {
		wld.apply(one, one.peers.HandleHeartbeat(wld.now, *fly.beat.Heartbeat))
		return
	}
	wld.apply(one, one.peers.HandlePulse(wld.now, from, fly.beat.Pulse))
}

func (wld *world) reach(a, b *run) bool { return a.side == b.side && !a.dead && !b.dead }

// connect makes the connections that are wished for and possible.
func (wld *world) connect() {
	byAddress := make(map[string]*run)
	for _, one := range wld.runs {
		if !one.dead {
			byAddress[one.Address] = one
		}
	}
	for _, one := range wld.runs {
		if one.dead || one.paused {
			continue
		}
		for _, address := range one.peers.Dial() {
			other := byAddress[address]
			if other != nil && !other.paused && wld.reach(one, other) && one.bonds[other.Incarnation] == nil {
				wld.bond(one, other)
			}
		}
	}
}

func (wld *world) bond(a, b *run) {
	between := &bond{ends: [2]*run{a, b}, heard: wld.now}
	a.bonds[b.Incarnation], b.bonds[a.Incarnation] = between, between
	wld.apply(a, a.peers.HandleConnect(wld.now, b.Member))
	wld.apply(b, b.peers.HandleConnect(wld.now, a.Member))
}

// breakSilent ends connections whose other end died, or that brought nothing for long.
func (wld *world) breakSilent() {
	for _, one := range wld.runs {
		for inc, between := range one.bonds {
			died := between.ends[0].dead || between.ends[1].dead
			if !died && !between.broken && wld.now.Sub(between.heard) < silence {
				continue
			}
			between.broken = true
			delete(one.bonds, inc)
			one.inbox = append(one.inbox, func() {
				if one.bonds[inc] == nil {
					one.peers.HandleDisconnect(wld.now, inc)
				}
			})
		}
	}
}

// alive returns the processes that run now and have no successor.
func (wld *world) alive() []*run {
	return slices.DeleteFunc(slices.Clone(wld.runs), func(one *run) bool {
		return one.dead || one.paused || wld.ended[one.Incarnation]
	})
}

// quiet reports whether nothing has disturbed the world for longer than two leaders
// may stand side by side.
func (wld *world) quiet() bool {
	timing := yuccapeer.DefaultTiming()
	bound := timing.ExpireAfter + timing.HeartbeatEvery + delay + 3*wld.step
	return wld.now.Sub(wld.unrest) > bound
}
