package yuccagate

import (
	"errors"
	"syscall"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

// peerTiming makes a dead leader known within a second and a half, and one whose process
// ended within a third of a second: requests decide alone meanwhile, with less knowledge.
func peerTiming() yuccapeer.Timing {
	timing := yuccapeer.DefaultTiming()
	timing.HeartbeatEvery = 400 * time.Millisecond
	timing.ExpireAfter = 1500 * time.Millisecond
	timing.DisconnectGrace = 300 * time.Millisecond
	timing.PauseLimit = 700 * time.Millisecond
	timing.SettleFor = 450 * time.Millisecond
	timing.ForgetAfter = time.Minute
	timing.GatewayConnectTimeout = 2 * time.Second
	return timing
}

// linkLimits fit the timing: a connection that has gone silent is dialled anew before its
// peer counts as dead.
func linkLimits() yuccalink.Limits {
	limits := yuccalink.DefaultLimits()
	limits.Silence = 1100 * time.Millisecond
	limits.KeepAliveEvery = 500 * time.Millisecond
	limits.Write = 1100 * time.Millisecond
	limits.Handshake = time.Second
	limits.Dial = time.Second
	// After all daemons were killed they start within some tenths of a second. Until they
	// have met, each decides alone.
	limits.FirstBackoff = 30 * time.Millisecond
	limits.LastBackoff = 250 * time.Millisecond
	limits.Linger = 300 * time.Millisecond
	limits.Farewell = 200 * time.Millisecond
	return limits
}

// dialEvery is how often the wished connections are compared with those that there are.
const dialEvery = 200 * time.Millisecond

// faultEvery spaces the lines on failed connections to one address.
const faultEvery = 5 * time.Second

// roster tells a peer where daemons are.
type roster struct {
	Listings []yuccapeer.Listing `msgpack:"listings"`
}

// onUp greets a peer and tells it what it may have missed while no connection was up.
func (gate *Gate) onUp(member yuccapeer.Member) {
	gate.control.Post(func(now time.Time) {
		gate.log.belief("peer reached", "peer", member.VM, "centre", member.Centre)
		gate.onChange(now, gate.peers.HandleConnect(now, member))
		gate.send(member.Incarnation, yuccawire.KindUse, yuccawire.Use{
			Totals: true, Spent: gate.ledger.LifetimeUsage(), Mine: gate.ledger.DaemonTotals(now), All: gate.ledger.Totals(now), Home: gate.ledger.CentreTotals(now),
			Knows: !gate.ledger.WithoutHistory(now),
		})
		gate.resync(now, member.Incarnation)
	})
}

func (gate *Gate) onDown(member yuccapeer.Member) {
	gate.control.Post(func(now time.Time) {
		gate.log.belief("peer lost", "peer", member.VM, "centre", member.Centre)
		gate.peers.HandleDisconnect(now, member.Incarnation)
		delete(gate.fresh, member.Incarnation)
	})
}

func (gate *Gate) onFault(address string, err error) {
	gate.control.Post(func(now time.Time) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			gate.refusedAt[address] = now
		}
		if now.Sub(gate.faults[address]) >= faultEvery {
			gate.faults[address] = now
			gate.log.belief("connection to peer failed", "address", address, "error", err)
		}
	})
}

// tickPeers looks at heartbeats and pauses.
func (gate *Gate) tickPeers(now time.Time) {
	gate.onChange(now, gate.peers.Tick(now))
	gate.onChange(now, gate.peers.CheckClocks(now, now.Sub(gate.looked), wallSince(now, gate.looked)))
	gate.looked = now
	if settled := gate.peers.Settled(); settled != gate.settled {
		gate.settled = settled
		gate.followLeaders(now)
	}
	// Whom to dial in other data centres changes with time too, not only with the view.
	if now.Sub(gate.dialled) >= dialEvery {
		gate.dialled = now
		gate.hub.Connect(gate.peers.Dial())
	}
}

// wallSince reads the wall clock only, which runs on while a VM is suspended.
func wallSince(now, then time.Time) time.Duration {
	return now.Round(0).Sub(then.Round(0))
}

// onChange follows the view of the other daemons.
func (gate *Gate) onChange(now time.Time, change yuccapeer.Change) {
	if change.Resumed {
		gate.log.belief("woken from a pause", "pauseMillis", change.PausedFor.Milliseconds())
		clear(gate.fresh)
		clear(gate.centres)
	}
	for _, beat := range change.Messages {
		gate.sendBeat(beat)
	}
	for _, peer := range change.RosterRecipients {
		gate.send(peer, yuccawire.KindRoster, roster{Listings: gate.peers.Roster()})
	}
	if !change.NewerConfig.Peer.IsZero() {
		gate.pullTable(now, change.NewerConfig)
	}
	for _, left := range change.Removed {
		gate.log.belief("peer gone", "peer", left.VM, "centre", left.Centre)
		gate.ownerGone(now, left.Incarnation)
	}
	if len(change.Joined) == 0 && len(change.Removed) == 0 && !change.Resumed {
		return
	}
	gate.hub.Connect(gate.peers.Dial())
	gate.followLeaders(now)
}

func (gate *Gate) sendBeat(beat yuccapeer.Message) {
	if beat.Heartbeat != nil {
		gate.send(beat.To, yuccawire.KindHeartbeat, *beat.Heartbeat)
		return
	}
	gate.send(beat.To, yuccawire.KindPulse, beat.Pulse)
}

// send queues a message for a peer. One that can't be queued is lost like one on a
// connection that breaks: whoever needs an answer asks again.
func (gate *Gate) send(to yuccaid.Incarnation, kind yuccawire.Kind, body any) {
	if err := gate.hub.Send(to, kind, body); err != nil {
		gate.metrics.unsent(kind)
	}
}

// nearby sends a message to all daemons of this data centre.
func (gate *Gate) nearby(kind yuccawire.Kind, body any) {
	for _, member := range gate.peers.Live(gate.settings.Centre) {
		if member.Incarnation != gate.inc {
			gate.send(member.Incarnation, kind, body)
		}
	}
}

func (gate *Gate) onRoster(_ time.Time, message roster) {
	gate.peers.AddListings(time.Now(), message.Listings)
	gate.hub.Connect(gate.peers.Dial())
}

// onFrame takes one message from a proven peer; the work waits its turn on the control
// goroutine, so messages of one peer keep their order.
func (gate *Gate) onFrame(from yuccaid.Incarnation, frame yuccawire.Frame) {
	if frame.Kind == yuccawire.KindTable {
		if err := decoded(frame, gate.readTable); err != nil {
			gate.log.belief("message refused", "peer", from.VM, "kind", frame.Kind, "error", err)
		}
		return
	}
	gate.control.Post(func(now time.Time) {
		if err := gate.handle(now, from, frame); err != nil {
			gate.log.belief("message refused", "peer", from.VM, "kind", frame.Kind, "error", err)
		}
	})
}

func (gate *Gate) handle(now time.Time, from yuccaid.Incarnation, frame yuccawire.Frame) error {
	switch frame.Kind {
	case yuccawire.KindHeartbeat:
		return decoded(frame, func(beat yuccapeer.Heartbeat) {
			if beat.Incarnation == from {
				gate.onChange(now, gate.peers.HandleHeartbeat(now, beat))
			}
		})
	case yuccawire.KindPulse:
		return decoded(frame, func(pulse yuccapeer.Pulse) { gate.onChange(now, gate.peers.HandlePulse(now, from, pulse)) })
	case yuccawire.KindRoster:
		return decoded(frame, func(message roster) { gate.onRoster(now, message) })
	case yuccawire.KindTablePull:
		return decoded(frame, func(pull yuccawire.TablePull) { gate.onTablePull(from, pull) })
	case yuccawire.KindTargetsPull:
		return decoded(frame, func(pull yuccawire.TargetsPull) { gate.onTargetsPull(from, pull) })
	case yuccawire.KindTargets:
		return decoded(frame, func(message yuccawire.Targets) { gate.onTargets(now, message) })
	case yuccawire.KindFresh:
		return decoded(frame, func(message yuccawire.Fresh) { gate.onFresh(now, from, message) })
	case yuccawire.KindUse:
		return decoded(frame, func(message yuccawire.Use) { gate.onUse(now, from, message) })
	case yuccawire.KindCast:
		return decoded(frame, func(message yuccawire.Cast) { gate.onCast(now, from, message) })
	case yuccawire.KindAsk:
		return decoded(frame, func(message yuccawire.Ask) { gate.onAsk(now, from, message) })
	case yuccawire.KindWithdrawn:
		return decoded(frame, func(message yuccawire.Withdrawn) { gate.onWithdrawn(now, from, message) })
	case yuccawire.KindPlaced:
		return decoded(frame, func(message yuccawire.Placed) { gate.onPlaced(now, from, message) })
	case yuccawire.KindBegun:
		return decoded(frame, func(message yuccawire.Begun) { gate.onBegun(now, from, message) })
	case yuccawire.KindEnded:
		return decoded(frame, func(message yuccawire.Ended) { gate.onEnded(now, from, message) })
	case yuccawire.KindHolding:
		return decoded(frame, func(message yuccawire.Holding) { gate.onHolding(now, from, message) })
	}
	return nil
}

func decoded[T any](frame yuccawire.Frame, use func(T)) error {
	var body T
	if err := frame.Decode(&body); err != nil {
		return err
	}
	use(body)
	return nil
}
