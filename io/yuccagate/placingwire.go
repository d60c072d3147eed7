package yuccagate

import (
	"math"
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaspeed"
	"yuccacleat/io/yuccawire"
)

// wireRequest returns the message that describes a placement's request to the leader. The message
// holds deadlines as durations from now.
func wireRequest(now time.Time, plc *placement) yuccawire.Ask {
	request := &plc.request
	return yuccawire.Ask{
		Pool: plc.pool, Number: request.ID.Number, Class: uint32(request.Class), Tier: request.Tier, Rank: request.Rank,
		Over: request.OverQuota, Prompt: request.Prompt, Answer: request.Answer,
		AimMillis: request.SoftDeadline.Sub(now).Milliseconds(), UntilMillis: request.Deadline.Sub(now).Milliseconds(),
		GapMillis: request.MaxGap.Milliseconds(), Tried: request.FailedTargets, Parts: wireParts(request.Parts),
	}
}

// wireVersionRequest returns the message for a request that needs a version or has to end at a certain
// time.
func wireVersionRequest(now time.Time, plc *placement) yuccawire.VersionAsk {
	message := yuccawire.VersionAsk{Ask: wireRequest(now, plc), Version: plc.request.Version}
	if !plc.request.End.IsZero() {
		message.EndMillis = max(plc.request.End.Sub(now).Milliseconds(), 1)
	}
	return message
}

// wireRegionRequest returns the message for a request that may be served in some regions only.
func wireRegionRequest(now time.Time, plc *placement) yuccawire.RegionAsk {
	message := wireVersionRequest(now, plc)
	return yuccawire.RegionAsk{
		Ask: message.Ask, Version: message.Version, EndMillis: message.EndMillis, Regions: plc.request.Regions.Regions(),
	}
}

func wireParts(parts []yuccacache.Part) []yuccawire.PromptPart {
	var list []yuccawire.PromptPart
	for _, part := range parts {
		list = append(list, wirePart(part))
	}
	return list
}

func wirePart(part yuccacache.Part) yuccawire.PromptPart {
	return yuccawire.PromptPart{Hash: uint32(part.Hash), Tokens: part.Size}
}

func partFromWire(part yuccawire.PromptPart) yuccacache.Part {
	return yuccacache.Part{Hash: uint64(part.Hash), Size: part.Tokens}
}

func partsFromWire(list []yuccawire.PromptPart) []yuccacache.Part {
	var parts []yuccacache.Part
	for _, part := range list {
		parts = append(parts, partFromWire(part))
	}
	return parts
}

// requestFromWire returns the request that the owner's message describes.
func requestFromWire(now time.Time, owner yuccaid.Incarnation, message yuccawire.Ask) yuccagrant.Request {
	return yuccagrant.Request{
		ID: yuccagrant.ID{Owner: owner, Number: message.Number}, Class: yuccagrant.Class(message.Class), Tier: message.Tier, Rank: message.Rank,
		OverQuota: message.Over, Prompt: message.Prompt, Answer: message.Answer,
		SoftDeadline: now.Add(time.Duration(message.AimMillis) * time.Millisecond),
		Deadline:     now.Add(time.Duration(message.UntilMillis) * time.Millisecond),
		MaxGap:       time.Duration(message.GapMillis) * time.Millisecond, FailedTargets: message.Tried, Parts: partsFromWire(message.Parts),
	}
}

func wireFinished(pool yuccaid.Pool, result yuccagrant.Finished) yuccawire.Ended {
	message := yuccawire.Ended{
		Pool: pool, Number: result.ID.Number, Outcome: uint8(result.Outcome), FirstMicro: result.TimeToFirst.Microseconds(),
		Events: result.Events, SpanMicro: result.Span.Microseconds(), PauseMicro: result.LongestGap.Microseconds(),
	}
	message.Load = wireLoad(result.Load)
	return message
}

// slownessScale is the integer that represents the usual speed in messages.
const slownessScale = 100

// wireLoad returns the message form of a target's reported load: its numbers of running and of
// waiting requests and, if it stated one, its slowness, or nil if it reported no load. A leader of an
// older build takes three numbers as no load.
func wireLoad(load yuccagrant.ReportedLoad) []int {
	switch {
	case !load.Known:
		return nil
	case load.Slowness > 0:
		return []int{load.Running, load.Waiting, int(math.Round(float64(load.Slowness) * slownessScale))}
	}
	return []int{load.Running, load.Waiting}
}

func loadFromWire(message []int) yuccagrant.ReportedLoad {
	if len(message) != 2 && len(message) != 3 {
		return yuccagrant.ReportedLoad{}
	}
	load := yuccagrant.ReportedLoad{Known: true, Running: message[0], Waiting: message[1]}
	if len(message) == 3 {
		load.Slowness = yuccaspeed.Factor(message[2]) / slownessScale
	}
	return load
}

func finishedFromWire(owner yuccaid.Incarnation, message yuccawire.Ended) yuccagrant.Finished {
	result := yuccagrant.Finished{
		ID: yuccagrant.ID{Owner: owner, Number: message.Number}, Outcome: yuccagrant.Outcome(message.Outcome),
		TimeToFirst: micros(message.FirstMicro), Events: message.Events, Span: micros(message.SpanMicro), LongestGap: micros(message.PauseMicro),
	}
	result.Load = loadFromWire(message.Load)
	return result
}

func micros(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}

// onAsk submits another daemon's request to this daemon's scheduler. The function apply sends a
// grant or a refusal to the owner, the daemon that owns the request. If the request has to wait,
// onAsk tells the owner so. A daemon that doesn't lead the pool doesn't respond, and the owner then
// decides on the request itself.
func (gate *Gate) onAsk(now time.Time, from yuccaid.Incarnation, message yuccawire.Ask) {
	gate.submitForOwner(now, from, message, yuccaallow.Limits{}, 0)
}

// onVersionAsk does what onAsk does for a request that needs targets of one version or has to end at a
// certain time.
func (gate *Gate) onVersionAsk(now time.Time, from yuccaid.Incarnation, ask yuccawire.VersionAsk) {
	gate.submitForOwner(now, from, ask.Ask, yuccaallow.Limits{Version: ask.Version}, ask.EndMillis)
}

// onRegionAsk does what onAsk does for a request that may be served in some regions only.
func (gate *Gate) onRegionAsk(now time.Time, from yuccaid.Incarnation, ask yuccawire.RegionAsk) {
	limits := yuccaallow.Limits{Regions: yuccaregion.Only(ask.Regions...), Version: ask.Version}
	gate.submitForOwner(now, from, ask.Ask, limits, ask.EndMillis)
}

// submitForOwner submits another daemon's request, with what it requires of its targets. If endMillis isn't
// zero, the answer has to be complete within that time.
func (gate *Gate) submitForOwner(now time.Time, from yuccaid.Incarnation, message yuccawire.Ask, lim yuccaallow.Limits, endMillis int64) {
	sched := gate.scheduler(now, message.Pool)
	if !sched.leads {
		return
	}
	request := requestFromWire(now, from, message)
	request.Version, request.Regions = lim.Version, lim.Regions
	if endMillis > 0 {
		request.End = now.Add(time.Duration(endMillis) * time.Millisecond)
	}
	gate.apply(now, sched, sched.local.Submit(now, request))
	if sched.local.IsWaiting(request.ID) {
		gate.send(from, yuccawire.KindPlaced, yuccawire.Placed{Pool: message.Pool, Number: message.Number})
	}
}

// onWithdrawn removes a request from the pool's queue, because the daemon that owns the request has
// withdrawn it.
func (gate *Gate) onWithdrawn(now time.Time, from yuccaid.Incarnation, message yuccawire.Withdrawn) {
	sched := gate.scheduler(now, message.Pool)
	gate.apply(now, sched, sched.local.Withdraw(now, yuccagrant.ID{Owner: from, Number: message.Number}))
}

// onPlaced handles the leader's message on one of this daemon's requests: a grant, a refusal, or
// neither if the request has to wait. If the request no longer waits for the leader's decision, a
// grant is returned to the leader, and any other message on the request is ignored. In every case
// the pool's leader is no longer suspected, because its message shows that it responds.
func (gate *Gate) onPlaced(now time.Time, from yuccaid.Incarnation, message yuccawire.Placed) {
	plc := gate.placements[message.Number]
	awaitsLeader := plc != nil && !plc.running && !plc.decidedLocally
	if plc != nil {
		if sched := gate.schedulers[plc.pool]; sched.leader == from {
			sched.suspectUntil = time.Time{}
		}
	}
	switch {
	case message.Target != "" && !awaitsLeader:
		gate.returnLateGrant(now, from, plc, message)
	case !awaitsLeader:
	case message.Target != "":
		gate.acceptGrant(now, gate.schedulers[plc.pool], yuccagrant.Grant{
			ID: plc.request.ID, Target: message.Target, ExpectedTimeToFirst: time.Duration(message.ExpectMillis) * time.Millisecond,
			Busy: message.Busy, Held: message.Held, FetchFrom: message.Fetch,
		})
	case message.Reason != "":
		gate.deliverRefusal(yuccagrant.Refusal{
			ID: plc.request.ID, Reason: yuccagrant.Reason(message.Reason), RetryAfter: time.Duration(message.BackMillis) * time.Millisecond,
			QueueLength: message.Waiting, FreeSlots: message.Free, EstimatedWait: time.Duration(message.WaitMillis) * time.Millisecond,
		})
	default:
		plc.waitConfirmedAt = now
	}
}

// returnLateGrant handles a grant that arrived too late: it tells the leader that the granted slot
// is free. The leader then counts no run for the request. If the request is already running, its
// run is therefore reported to the leader again.
func (gate *Gate) returnLateGrant(now time.Time, from yuccaid.Incarnation, plc *placement, message yuccawire.Placed) {
	gate.send(from, yuccawire.KindEnded, yuccawire.Ended{Pool: message.Pool, Number: message.Number, Outcome: uint8(yuccagrant.Dropped)})
	if plc != nil && plc.running {
		gate.syncPlacement(now, gate.schedulers[plc.pool], plc)
	}
}

// withdraw removes a waiting request from this daemon's scheduler. If the leader was to decide on
// the request, it also tells the leader to remove the request from its queue.
func (gate *Gate) withdraw(now time.Time, sched *scheduler, plc *placement) {
	gate.apply(now, sched, sched.local.Withdraw(now, plc.request.ID))
	if !plc.decidedLocally && !sched.leader.IsZero() {
		gate.send(sched.leader, yuccawire.KindWithdrawn, yuccawire.Withdrawn{Pool: sched.pool, Number: plc.request.ID.Number})
	}
}

// sendStarted reports to the pool's leader, unless that is this daemon, a run's first event and the
// time from sending to that event.
func (gate *Gate) sendStarted(sched *scheduler, plc *placement, timeToFirst time.Duration, load yuccagrant.ReportedLoad) {
	if !sched.leads && !sched.leader.IsZero() {
		gate.send(sched.leader, yuccawire.KindBegun, yuccawire.Begun{
			Pool: sched.pool, Number: plc.request.ID.Number, TookMicro: timeToFirst.Microseconds(), Load: wireLoad(load),
		})
	}
}

// onBegun handles another daemon's report of a run's first event.
func (gate *Gate) onBegun(now time.Time, from yuccaid.Incarnation, message yuccawire.Begun) {
	sched := gate.scheduler(now, message.Pool)
	id, load := yuccagrant.ID{Owner: from, Number: message.Number}, loadFromWire(message.Load)
	gate.apply(now, sched, sched.local.RunStarted(now, id, micros(message.TookMicro), load))
}

// onEnded handles another daemon's report that a run finished or a grant isn't used.
func (gate *Gate) onEnded(now time.Time, from yuccaid.Incarnation, message yuccawire.Ended) {
	sched := gate.scheduler(now, message.Pool)
	gate.apply(now, sched, sched.local.RunFinished(now, finishedFromWire(from, message)))
}

// onHolding handles another daemon's report of a run that the leader may not know. A daemon that
// doesn't lead the pool ignores the report.
func (gate *Gate) onHolding(now time.Time, from yuccaid.Incarnation, message yuccawire.Holding) {
	sched := gate.scheduler(now, message.Ask.Pool)
	if !sched.leads {
		return
	}
	sched.local.AddRunning(now, yuccagrant.Running{
		Request: requestFromWire(now, from, message.Ask), Target: message.Target, Started: message.Begun,
		Sent: now.Add(-time.Duration(message.AgeMillis) * time.Millisecond),
	})
}
