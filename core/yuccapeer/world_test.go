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
	// silenceLimit is how long a connection may deliver no message before it is closed.
	silenceLimit = 3500 * time.Millisecond
	// messageDelay is how long a message takes while the network is reliable.
	messageDelay = 30 * time.Millisecond
)

// world runs daemons in virtual time, over a network that can be partitioned and can lose,
// delay and duplicate messages.
type world struct {
	now        time.Time
	step       time.Duration
	rng        *rand.Rand
	unreliable bool
	processes  []*process
	deliveries []delivery
	listings   []yuccapeer.Listing
	// lastDisturbance is the last time, past or future, at which the network or a process is
	// disturbed: see recordDisturbance.
	lastDisturbance time.Time
	// lastNonce is the nonce of the process that was started last.
	lastNonce uint64
	// onSend is called for each message that is sent.
	onSend func(from, to *process, message yuccapeer.Message)
	// violation describes an incarnation that a process wrongly added to its view again: after
	// the incarnation had been replaced, or as not leaving after it had been leaving. It is
	// empty if no process has done so.
	violation string
	// replaced are the incarnations that have a successor on their VM.
	replaced map[yuccaid.Incarnation]bool
}

// process is one daemon's process and what it has received.
type process struct {
	yuccapeer.Member
	view *yuccapeer.Peers
	// side is the side of the network partition that the process is on, 0 or 1.
	side   int
	paused bool
	dead   bool
	number yuccaid.ConfigNumber
	// connections has the process's connections by the incarnation at the other end.
	connections map[yuccaid.Incarnation]*connection
	// inbox has the messages and disconnections that the process handles in its next step.
	inbox []func()
	// received is when the last message of each incarnation arrived.
	received map[yuccaid.Incarnation]time.Time
	// latest is the incarnation on each VM that last joined this process's view.
	latest map[yuccaid.VM]yuccaid.Incarnation
	// seenReplaced are the incarnations that a successor replaced in this process's view.
	// seenLeaving are the incarnations that were leaving when they last joined this process's
	// view.
	seenReplaced, seenLeaving map[yuccaid.Incarnation]bool
}

// connection is a connection between two processes.
type connection struct {
	ends [2]*process
	// received is when a message last arrived over the connection, in either direction.
	received time.Time
	broken   bool
}

// delivery is a message that was sent and hasn't arrived.
type delivery struct {
	due      time.Time
	from, to *process
	via      *connection
	message  yuccapeer.Message
}

// newWorld starts count daemons in each of the data centres.
func newWorld(seed uint64, step time.Duration, centres, count int) *world {
	wld := &world{now: time.Unix(1e6, 0), step: step, rng: rand.New(rand.NewPCG(seed, 0))}
	wld.onSend = func(_, _ *process, _ yuccapeer.Message) {}
	wld.replaced = make(map[yuccaid.Incarnation]bool)
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

// start starts a process on a listing's VM.
func (wld *world) start(listing yuccapeer.Listing) *process {
	wld.lastNonce++
	wld.recordDisturbance(wld.now)
	self := yuccapeer.Member{
		VM: listing.VM, Centre: listing.Centre, Address: listing.Address,
		Incarnation: yuccaid.NewIncarnation(listing.VM, [16]byte{byte(wld.lastNonce), byte(wld.lastNonce >> 8)}),
	}
	proc := &process{
		Member:       self,
		view:         yuccapeer.New(self),
		connections:  make(map[yuccaid.Incarnation]*connection),
		received:     make(map[yuccaid.Incarnation]time.Time),
		latest:       make(map[yuccaid.VM]yuccaid.Incarnation),
		seenReplaced: make(map[yuccaid.Incarnation]bool),
		seenLeaving:  make(map[yuccaid.Incarnation]bool),
	}
	proc.view.SetListings(wld.now, wld.listings)
	wld.processes = append(wld.processes, proc)
	return proc
}

// replace starts a successor on a process's VM. If the old process has died, the successor
// has its address, and otherwise a new one, which is entered in the platform's list.
func (wld *world) replace(old *process, died bool) {
	wld.replaced[old.Incarnation] = true
	old.dead = died
	listing := yuccapeer.Listing{VM: old.VM, Centre: old.Centre, Address: old.Address}
	if !died {
		listing.Address = fmt.Sprintf("10.9.0.%d:7400", wld.lastNonce)
	}
	i := slices.IndexFunc(wld.listings, func(item yuccapeer.Listing) bool { return item.VM == old.VM })
	wld.listings[i] = listing
	for _, item := range wld.processes {
		item.view.SetListings(wld.now, wld.listings)
	}
	wld.start(listing).side = old.side
}

// advance advances the time by some steps.
func (wld *world) advance(steps int) {
	for range steps {
		wld.now = wld.now.Add(wld.step)
		for _, proc := range wld.processes {
			wld.runOnce(proc)
		}
		wld.deliverDue()
		wld.connect()
		wld.closeSilent()
	}
}

// recordDisturbance records that until the given time messages are lost or late, or processes
// are started, stopped or changed, so that views may differ.
func (wld *world) recordDisturbance(until time.Time) {
	if until.After(wld.lastDisturbance) {
		wld.lastDisturbance = until
	}
}

// runOnce runs one process for a step. A process that resumes after a pause calls Tick before
// it handles any message.
func (wld *world) runOnce(proc *process) {
	if proc.paused || proc.dead {
		return
	}
	wld.apply(proc, proc.view.Tick(wld.now))
	for _, event := range proc.inbox {
		event()
	}
	proc.inbox = nil
}

// apply checks a change of a process's view and sends its messages.
func (wld *world) apply(proc *process, change yuccapeer.Change) {
	for _, joined := range change.Joined {
		inc := joined.Incarnation
		if proc.seenReplaced[inc] || (proc.seenLeaving[inc] && !joined.Leaving) {
			wld.violation = fmt.Sprintf("%s added %s to its view again", proc.VM, inc)
		}
		if before, ok := proc.latest[joined.VM]; ok && before != inc && wld.replaced[before] {
			proc.seenReplaced[before] = true
		}
		proc.latest[joined.VM] = inc
		proc.seenLeaving[inc] = joined.Leaving
	}
	for _, message := range change.Messages {
		wld.send(proc, message)
	}
}

// send sends a message over the sender's connection. An unreliable network may lose,
// duplicate or delay it.
func (wld *world) send(from *process, message yuccapeer.Message) {
	via := from.connections[message.To]
	if via == nil {
		return
	}
	to := via.ends[0]
	if to == from {
		to = via.ends[1]
	}
	wld.onSend(from, to, message)
	copies, latency := 1, messageDelay
	if wld.unreliable {
		copies = []int{0, 1, 1, 1, 2}[wld.rng.IntN(5)]
		wld.recordDisturbance(wld.now)
	}
	for range copies {
		if wld.unreliable && wld.rng.IntN(4) == 0 {
			latency = time.Duration(wld.rng.Int64N(int64(8 * time.Second)))
			wld.recordDisturbance(wld.now.Add(latency))
		}
		wld.deliveries = append(wld.deliveries, delivery{due: wld.now.Add(latency), from: from, to: to, via: via, message: message})
	}
}

// deliverDue delivers the messages that are due, unless their connection is broken.
func (wld *world) deliverDue() {
	wld.deliveries = slices.DeleteFunc(wld.deliveries, func(dlv delivery) bool {
		if wld.now.Before(dlv.due) {
			return false
		}
		if !dlv.via.broken && wld.canReach(dlv.from, dlv.to) {
			dlv.via.received = wld.now
			dlv.to.inbox = append(dlv.to.inbox, func() { wld.receive(dlv) })
		}
		return true
	})
}

// receive has a process handle a message, unless the message's connection has been closed
// since it arrived.
func (wld *world) receive(dlv delivery) {
	proc, from := dlv.to, dlv.from.Incarnation
	if proc.connections[from] != dlv.via {
		return
	}
	proc.received[from] = wld.now
	if dlv.message.Heartbeat != nil {
		wld.apply(proc, proc.view.HandleHeartbeat(wld.now, *dlv.message.Heartbeat))
		return
	}
	wld.apply(proc, proc.view.HandlePulse(wld.now, from, dlv.message.Pulse))
}

// canReach reports whether two processes are alive and on the same side of the network
// partition.
func (wld *world) canReach(a, b *process) bool {
	return a.side == b.side && !a.dead && !b.dead
}

// connect opens the connections that WantedConnections of each process asks for, if the
// processes at both ends run and can reach each other.
func (wld *world) connect() {
	byAddress := make(map[string]*process)
	for _, proc := range wld.processes {
		if !proc.dead {
			byAddress[proc.Address] = proc
		}
	}
	for _, proc := range wld.processes {
		if proc.dead || proc.paused {
			continue
		}
		for _, address := range proc.view.WantedConnections() {
			other := byAddress[address]
			if other != nil && !other.paused && wld.canReach(proc, other) && proc.connections[other.Incarnation] == nil {
				wld.openConnection(proc, other)
			}
		}
	}
}

// openConnection connects two processes.
func (wld *world) openConnection(a, b *process) {
	conn := &connection{ends: [2]*process{a, b}, received: wld.now}
	a.connections[b.Incarnation], b.connections[a.Incarnation] = conn, conn
	wld.apply(a, a.view.HandleConnect(wld.now, b.Member))
	wld.apply(b, b.view.HandleConnect(wld.now, a.Member))
}

// closeSilent closes the connections that are broken, that have delivered no message for
// silenceLimit or that have a dead process at either end.
func (wld *world) closeSilent() {
	for _, proc := range wld.processes {
		for inc, conn := range proc.connections {
			died := conn.ends[0].dead || conn.ends[1].dead
			if !died && !conn.broken && wld.now.Sub(conn.received) < silenceLimit {
				continue
			}
			conn.broken = true
			delete(proc.connections, inc)
			proc.inbox = append(proc.inbox, func() {
				if proc.connections[inc] == nil {
					proc.view.HandleDisconnect(wld.now, inc)
				}
			})
		}
	}
}

// current returns the processes that run and have no successor.
func (wld *world) current() []*process {
	return slices.DeleteFunc(slices.Clone(wld.processes), func(proc *process) bool {
		return proc.dead || proc.paused || wld.replaced[proc.Incarnation]
	})
}

// quiet reports whether nothing has disturbed the world for some time. That time is longer
// than the time for which two daemons may both lead a pool.
func (wld *world) quiet() bool {
	timing := yuccapeer.DefaultTiming()
	bound := timing.ExpireAfter + timing.HeartbeatEvery + messageDelay + 3*wld.step
	return wld.now.Sub(wld.lastDisturbance) > bound
}
