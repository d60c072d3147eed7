package yuccagate

import (
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

// peerTiming sets the timing of heartbeats so that a leader that stops responding is noticed
// within a second and a half, and a leader whose process ends within a third of a second. Until
// then the other daemons decide without the leader, with less information.
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

// linkLimits sets limits that fit peerTiming: a connection on which nothing arrives is dialled
// again before its peer counts as expired.
func linkLimits() yuccalink.Limits {
	limits := yuccalink.DefaultLimits()
	limits.Silence = 1100 * time.Millisecond
	limits.KeepAliveEvery = 500 * time.Millisecond
	limits.Write = 1100 * time.Millisecond
	limits.Handshake = time.Second
	limits.Dial = time.Second
	// After all daemons were killed, they restart within some tenths of a second of one another.
	// Until they are connected, each daemon decides without the others. The backoffs are short, so
	// that this time is short too.
	limits.FirstBackoff = 30 * time.Millisecond
	limits.LastBackoff = 250 * time.Millisecond
	limits.Linger = 300 * time.Millisecond
	limits.Farewell = 200 * time.Millisecond
	return limits
}

// connCompareInterval is the time between two comparisons of the connections to other daemons that
// should exist with the connections that exist.
const connCompareInterval = 200 * time.Millisecond

// connFailureLogInterval is the shortest time between two log lines on failed connections to one
// address.
const connFailureLogInterval = 5 * time.Second

// maxLoggedAddresses bounds the addresses for which it is known when a failed connection was last logged.
const maxLoggedAddresses = 1024

// peerListings is the message that sends a peer the addresses of the known daemons.
type peerListings struct {
	Listings []yuccapeer.Listing `msgpack:"listings"`
}

// onUp sends a newly connected peer what the peer may have missed while there was no connection:
// totals of usage, and this daemon's requests if the peer leads their pools.
func (gate *Gate) onUp(member yuccapeer.Member) {
	gate.control.Post(func(now time.Time) {
		gate.log.stateChange("peer reached", "peer", member.VM, "centre", member.Centre)
		gate.onChange(now, gate.peers.HandleConnect(now, member))
		gate.send(member.Incarnation, yuccawire.KindUse, yuccawire.Use{
			Totals: true, Spent: gate.ledger.LifetimeUsage(), Mine: gate.ledger.DaemonTotals(now), All: gate.ledger.Totals(now), Home: gate.ledger.CentreTotals(now),
			Knows: !gate.ledger.WithoutHistory(now),
		})
		gate.resync(now, member.Incarnation)
		gate.sendQuarantine(now, member.Incarnation)
	})
}

// onDown handles the loss of a peer's connection.
func (gate *Gate) onDown(member yuccapeer.Member) {
	gate.control.Post(func(now time.Time) {
		gate.log.stateChange("peer lost", "peer", member.VM, "centre", member.Centre)
		gate.peers.HandleDisconnect(now, member.Incarnation)
		delete(gate.platformReports, yuccaroster.Reader{Centre: member.Centre, VM: member.VM})
		delete(gate.tablesSent, member.Incarnation)
		delete(gate.listsSent, member.Incarnation)
	})
}

// onFault handles a failed connection to the daemon at the address. If the connection was refused,
// the time is recorded, because a daemon that refuses connections has stopped (see
// expectedDaemons).
func (gate *Gate) onFault(address string, err error) {
	gate.control.Post(func(now time.Time) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			gate.peerRefusedAt[address] = now
		}
		if gate.logsConnFailure(now, address) {
			gate.log.stateChange("connection to peer failed", "address", address, "error", err)
		}
	})
}

// logsConnFailure reports whether a failed connection to or from the address is logged, and records that it is.
//
// Anybody may connect to the address for daemons, each time from another port. If what was logged were kept for each of
// them, it would take the process's memory in the end.
func (gate *Gate) logsConnFailure(now time.Time, address string) bool {
	if now.Sub(gate.connFailureLoggedAt[address]) < connFailureLogInterval {
		return false
	}
	if len(gate.connFailureLoggedAt) >= maxLoggedAddresses {
		maps.DeleteFunc(gate.connFailureLoggedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= connFailureLogInterval })
	}
	if len(gate.connFailureLoggedAt) >= maxLoggedAddresses {
		return false
	}
	gate.connFailureLoggedAt[address] = now
	return true
}

// tickPeers checks heartbeats and whether this process was paused, and dials daemons to which
// there should be a connection.
func (gate *Gate) tickPeers(now time.Time) {
	change := gate.peers.Tick(now)
	if change.NewerConfig.Peer.IsZero() {
		gate.tablePull.CaughtUp()
	}
	gate.onChange(now, change)
	monotonic, boot := gate.suspensions.Check(now)
	gate.onChange(now, gate.peers.CheckClocks(now, monotonic, boot))
	if settled := gate.peers.Settled(); settled != gate.settled {
		gate.settled = settled
		gate.followLeaders(now)
	}
	// The connections that should exist to daemons of other data centres change with time, even if
	// no daemon joins or is removed. So they are compared regularly.
	if now.Sub(gate.connsComparedAt) >= connCompareInterval {
		gate.connsComparedAt = now
		gate.hub.Connect(gate.peers.WantedConnections())
	}
}

// onChange acts on a change in this daemon's view of its peers.
func (gate *Gate) onChange(now time.Time, change yuccapeer.Change) {
	if change.Resumed {
		gate.log.stateChange("woken from a pause", "pauseMillis", change.PausedFor.Milliseconds())
		clear(gate.platformReports)
		clear(gate.remoteCentres)
		clear(gate.seeds.remote)
		gate.resendBudget.MarkResumed(now, change.PausedFor)
	}
	for _, message := range change.Messages {
		gate.sendHeartbeat(message)
	}
	for _, peer := range change.RosterRecipients {
		gate.send(peer, yuccawire.KindRoster, peerListings{Listings: gate.peers.AllCandidates()})
	}
	if !change.NewerConfig.Peer.IsZero() {
		gate.pullTable(now, change.NewerConfig)
	}
	for _, removed := range change.Removed {
		gate.log.stateChange("peer gone", "peer", removed.VM, "centre", removed.Centre)
		gate.dropOwner(now, removed.Incarnation)
		joinedAgain := slices.ContainsFunc(change.Joined, func(member yuccapeer.Member) bool { return member.Incarnation == removed.Incarnation })
		if !joinedAgain {
			gate.forgetHoldings(now)
		}
	}
	if len(change.Joined) == 0 && len(change.Removed) == 0 && !change.Resumed {
		return
	}
	gate.hub.Connect(gate.peers.WantedConnections())
	gate.followLeaders(now)
}

// sendHeartbeat sends a peer a full heartbeat, or a pulse if the message holds no heartbeat.
func (gate *Gate) sendHeartbeat(message yuccapeer.Message) {
	if message.Heartbeat != nil {
		gate.send(message.To, yuccawire.KindHeartbeat, *message.Heartbeat)
		return
	}
	gate.send(message.To, yuccawire.KindPulse, message.Pulse)
}

// send queues a message for a peer and reports whether it could be queued. One that couldn't is lost,
// as if the connection to the peer had broken. A message that needs a response is sent again if no
// response arrives in time.
func (gate *Gate) send(to yuccaid.Incarnation, kind yuccawire.Kind, body any) bool {
	err := gate.hub.Send(to, kind, body)
	if err != nil {
		gate.metrics.unsent(kind)
	}
	return err == nil
}

// sendLocal sends a message to all other daemons of this data centre.
func (gate *Gate) sendLocal(kind yuccawire.Kind, body any) {
	for _, member := range gate.peers.Live(gate.settings.Centre) {
		if member.Incarnation != gate.incarnation {
			gate.send(member.Incarnation, kind, body)
		}
	}
}

// onRoster handles a peer's list of daemons: it adds their addresses, and dials those daemons to
// which there should be a connection.
func (gate *Gate) onRoster(_ time.Time, message peerListings) {
	gate.peers.AddListings(time.Now(), message.Listings)
	gate.hub.Connect(gate.peers.WantedConnections())
}

// onFrame handles one message from an authenticated peer. Messages are queued for the control
// goroutine, so that the messages of one peer keep their order. Only configurations are handled at
// once, on the connection's goroutine (see onTable).
func (gate *Gate) onFrame(from yuccaid.Incarnation, frame yuccawire.Frame) {
	if frame.Kind == yuccawire.KindTable {
		if err := decodeThen(frame, gate.onTable); err != nil {
			gate.log.stateChange("message refused", "peer", from.VM, "kind", frame.Kind, "error", err)
		}
		return
	}
	gate.control.Post(func(now time.Time) {
		if err := gate.handle(now, from, frame); err != nil {
			gate.log.stateChange("message refused", "peer", from.VM, "kind", frame.Kind, "error", err)
		}
	})
}

// handle handles one message on the control goroutine. Messages of unknown kinds are ignored.
func (gate *Gate) handle(now time.Time, from yuccaid.Incarnation, frame yuccawire.Frame) error {
	switch frame.Kind {
	case yuccawire.KindHeartbeat:
		return decodeThen(frame, func(heartbeat yuccapeer.Heartbeat) {
			if heartbeat.Incarnation == from {
				gate.onChange(now, gate.peers.HandleHeartbeat(now, heartbeat))
			}
		})
	case yuccawire.KindPulse:
		return decodeThen(frame, func(pulse yuccapeer.Pulse) { gate.onChange(now, gate.peers.HandlePulse(now, from, pulse)) })
	case yuccawire.KindRoster:
		return decodeThen(frame, func(message peerListings) { gate.onRoster(now, message) })
	case yuccawire.KindTablePull:
		return decodeThen(frame, func(pull yuccawire.TablePull) { gate.onTablePull(now, from, pull) })
	case yuccawire.KindTargetsPull:
		return decodeThen(frame, func(pull yuccawire.TargetsPull) { gate.onTargetsPull(now, from, pull) })
	case yuccawire.KindTargets:
		return decodeThen(frame, func(message yuccawire.TargetsUpdate) { gate.onTargets(now, message) })
	case yuccawire.KindFresh:
		return decodeThen(frame, func(message yuccawire.Fresh) { gate.onFresh(now, from, message) })
	case yuccawire.KindUse:
		return decodeThen(frame, func(message yuccawire.Use) { gate.onUse(now, from, message) })
	case yuccawire.KindCast:
		return decodeThen(frame, func(message yuccawire.Cast) { gate.onCast(now, from, message) })
	case yuccawire.KindSeeds:
		return decodeThen(frame, func(message yuccawire.Seeds) { gate.onSeeds(now, from, message) })
	case yuccawire.KindQuarantine:
		return decodeThen(frame, func(message yuccawire.Quarantine) { gate.onQuarantine(now, from, message) })
	default:
		return gate.handleOnRequests(now, from, frame)
	}
}

// handleOnRequests handles a message on requests and their quotas.
func (gate *Gate) handleOnRequests(now time.Time, from yuccaid.Incarnation, frame yuccawire.Frame) error {
	switch frame.Kind {
	case yuccawire.KindAsk:
		return decodeThen(frame, func(message yuccawire.Ask) { gate.onAsk(now, from, message) })
	case yuccawire.KindVersionAsk:
		return decodeThen(frame, func(message yuccawire.VersionAsk) { gate.onVersionAsk(now, from, message) })
	case yuccawire.KindRegionAsk:
		return decodeThen(frame, func(message yuccawire.RegionAsk) { gate.onRegionAsk(now, from, message) })
	case yuccawire.KindWithdrawn:
		return decodeThen(frame, func(message yuccawire.Withdrawn) { gate.onWithdrawn(now, from, message) })
	case yuccawire.KindPlaced:
		return decodeThen(frame, func(message yuccawire.Placed) { gate.onPlaced(now, from, message) })
	case yuccawire.KindBegun:
		return decodeThen(frame, func(message yuccawire.Begun) { gate.onBegun(now, from, message) })
	case yuccawire.KindEnded:
		return decodeThen(frame, func(message yuccawire.Ended) { gate.onEnded(now, from, message) })
	case yuccawire.KindHolding:
		return decodeThen(frame, func(message yuccawire.Holding) { gate.onHolding(now, from, message) })
	case yuccawire.KindSends:
		return decodeThen(frame, func(message yuccawire.Sends) { gate.onSends(now, from, message) })
	case yuccawire.KindQuotaRequest:
		return decodeThen(frame, func(message yuccawire.QuotaRequest) { gate.onQuotaRequest(now, from, message) })
	case yuccawire.KindQuotaAnswer:
		return decodeThen(frame, func(message yuccawire.QuotaAnswer) { gate.onQuotaAnswer(now, from, message) })
	case yuccawire.KindQuotaReturn:
		return decodeThen(frame, func(message yuccawire.QuotaReturn) { gate.onQuotaReturn(now, message) })
	default:
		return gate.handleOnStreams(now, from, frame)
	}
}

// handleOnStreams handles a message on where streams began.
func (gate *Gate) handleOnStreams(now time.Time, from yuccaid.Incarnation, frame yuccawire.Frame) error {
	switch frame.Kind {
	case yuccawire.KindOrigins:
		return decodeThen(frame, func(message yuccawire.Origins) { gate.onOrigins(now, from, message) })
	case yuccawire.KindOriginQuery:
		return decodeThen(frame, func(message yuccawire.OriginQuery) { gate.onOriginQuery(now, from, message) })
	case yuccawire.KindOriginAnswer:
		return decodeThen(frame, func(message yuccawire.OriginAnswer) { gate.onOriginAnswer(now, message) })
	case yuccawire.KindHoldingQuery:
		return decodeThen(frame, func(message yuccawire.HoldingQuery) { gate.onHoldingQuery(now, from, message) })
	case yuccawire.KindHoldingAnswer:
		return decodeThen(frame, func(message yuccawire.HoldingAnswer) { gate.onHoldingAnswer(now, message) })
	}
	return nil
}

// decodeThen decodes a message's body and passes it to the handler.
func decodeThen[T any](frame yuccawire.Frame, handler func(T)) error {
	var body T
	if err := frame.Decode(&body); err != nil {
		return err
	}
	handler(body)
	return nil
}
