package yuccagate

import (
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

func wireAsk(now time.Time, tkt *ticket) yuccawire.Ask {
	ask := &tkt.ask
	return yuccawire.Ask{
		Pool: tkt.pool, Number: ask.ID.Number, Class: uint32(ask.Class), Tier: ask.Tier, Rank: ask.Rank, Over: ask.OverQuota, Prompt: ask.Prompt, Answer: ask.Answer,
		AimMillis: ask.SoftDeadline.Sub(now).Milliseconds(), UntilMillis: ask.Deadline.Sub(now).Milliseconds(),
		GapMillis: ask.MaxGap.Milliseconds(), Tried: ask.FailedTargets,
	}
}

func askOf(now time.Time, owner yuccaid.Incarnation, message yuccawire.Ask) yuccagrant.Request {
	return yuccagrant.Request{
		ID: yuccagrant.ID{Owner: owner, Number: message.Number}, Class: yuccagrant.Class(message.Class), Tier: message.Tier, Rank: message.Rank, OverQuota: message.Over, Prompt: message.Prompt, Answer: message.Answer,
		SoftDeadline: now.Add(time.Duration(message.AimMillis) * time.Millisecond),
		Deadline:     now.Add(time.Duration(message.UntilMillis) * time.Millisecond),
		MaxGap:       time.Duration(message.GapMillis) * time.Millisecond, FailedTargets: message.Tried,
	}
}

func wireEnded(pool yuccaid.Pool, end yuccagrant.Finished) yuccawire.Ended {
	message := yuccawire.Ended{
		Pool: pool, Number: end.ID.Number, Outcome: uint8(end.Outcome), FirstMicro: end.TimeToFirst.Microseconds(),
		Events: end.Events, SpanMicro: end.Span.Microseconds(), PauseMicro: end.LongestGap.Microseconds(),
	}
	message.Load = wireLoad(end.Load)
	return message
}

func wireLoad(load yuccagrant.ReportedLoad) []int {
	if !load.Known {
		return nil
	}
	return []int{load.Running, load.Waiting}
}

func loadOf(message []int) yuccagrant.ReportedLoad {
	if len(message) != 2 {
		return yuccagrant.ReportedLoad{}
	}
	return yuccagrant.ReportedLoad{Known: true, Running: message[0], Waiting: message[1]}
}

func endedOf(owner yuccaid.Incarnation, message yuccawire.Ended) yuccagrant.Finished {
	end := yuccagrant.Finished{
		ID: yuccagrant.ID{Owner: owner, Number: message.Number}, Outcome: yuccagrant.Outcome(message.Outcome),
		TimeToFirst: micros(message.FirstMicro), Events: message.Events, Span: micros(message.SpanMicro), LongestGap: micros(message.PauseMicro),
	}
	end.Load = loadOf(message.Load)
	return end
}

func micros(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}

// onAsk decides on another daemon's request, and says so when it has to wait. A daemon that
// doesn't lead the pool gives no word, and the asker decides alone.
func (gate *Gate) onAsk(now time.Time, from yuccaid.Incarnation, message yuccawire.Ask) {
	dsk := gate.desk(now, message.Pool)
	if !dsk.leads {
		return
	}
	ask := askOf(now, from, message)
	gate.apply(now, dsk, dsk.own.Submit(now, ask))
	if dsk.own.IsWaiting(ask.ID) {
		gate.send(from, yuccawire.KindPlaced, yuccawire.Placed{Pool: message.Pool, Number: message.Number})
	}
}

func (gate *Gate) onWithdrawn(now time.Time, from yuccaid.Incarnation, message yuccawire.Withdrawn) {
	dsk := gate.desk(now, message.Pool)
	gate.apply(now, dsk, dsk.own.Withdraw(now, yuccagrant.ID{Owner: from, Number: message.Number}))
}

// onPlaced takes the leader's word on one of this daemon's requests. A target that comes
// after the request was decided on otherwise is given back.
func (gate *Gate) onPlaced(now time.Time, from yuccaid.Incarnation, message yuccawire.Placed) {
	tkt := gate.tickets[message.Number]
	waits := tkt != nil && !tkt.running && !tkt.alone
	if tkt != nil {
		if dsk := gate.desks[tkt.pool]; dsk.leader == from {
			dsk.doubted = time.Time{}
		}
	}
	switch {
	case message.Target != "" && !waits:
		gate.returnLate(now, from, tkt, message)
	case !waits:
	case message.Target != "":
		gate.grant(now, gate.desks[tkt.pool], yuccagrant.Grant{
			ID: tkt.ask.ID, Target: message.Target, ExpectedFirst: time.Duration(message.ExpectMillis) * time.Millisecond, Busy: message.Busy,
		})
	case message.Reason != "":
		gate.refuse(yuccagrant.Refusal{
			ID: tkt.ask.ID, Reason: yuccagrant.Reason(message.Reason), RetryAfter: time.Duration(message.BackMillis) * time.Millisecond,
			QueueLength: message.Waiting, FreeSlots: message.Free, EstimatedWait: time.Duration(message.WaitMillis) * time.Millisecond,
		})
	default:
		tkt.word = now
	}
}

// returnLate gives back a target that nobody waits for any more. If the request runs on
// another target the leader was told so, and what it now counts is that run.
func (gate *Gate) returnLate(now time.Time, from yuccaid.Incarnation, tkt *ticket, message yuccawire.Placed) {
	gate.send(from, yuccawire.KindEnded, yuccawire.Ended{Pool: message.Pool, Number: message.Number, Outcome: uint8(yuccagrant.Dropped)})
	if tkt != nil && tkt.running {
		gate.tell(now, gate.desks[tkt.pool], tkt)
	}
}

// withdraw takes a waiting request back from those who decide on it.
func (gate *Gate) withdraw(now time.Time, dsk *desk, tkt *ticket) {
	gate.apply(now, dsk, dsk.own.Withdraw(now, tkt.ask.ID))
	if !tkt.alone && !dsk.leader.IsZero() {
		gate.send(dsk.leader, yuccawire.KindWithdrawn, yuccawire.Withdrawn{Pool: dsk.pool, Number: tkt.ask.ID.Number})
	}
}

func (gate *Gate) tellBegun(dsk *desk, tkt *ticket, took time.Duration, load yuccagrant.ReportedLoad) {
	if !dsk.leads && !dsk.leader.IsZero() {
		gate.send(dsk.leader, yuccawire.KindBegun, yuccawire.Begun{
			Pool: dsk.pool, Number: tkt.ask.ID.Number, TookMicro: took.Microseconds(), Load: wireLoad(load),
		})
	}
}

func (gate *Gate) onBegun(now time.Time, from yuccaid.Incarnation, message yuccawire.Begun) {
	dsk := gate.desk(now, message.Pool)
	gate.apply(now, dsk, dsk.own.RunStarted(now, yuccagrant.ID{Owner: from, Number: message.Number}, micros(message.TookMicro), loadOf(message.Load)))
}

func (gate *Gate) onEnded(now time.Time, from yuccaid.Incarnation, message yuccawire.Ended) {
	dsk := gate.desk(now, message.Pool)
	gate.apply(now, dsk, dsk.own.RunFinished(now, endedOf(from, message)))
}

func (gate *Gate) onHolding(now time.Time, from yuccaid.Incarnation, message yuccawire.Holding) {
	dsk := gate.desk(now, message.Ask.Pool)
	if !dsk.leads {
		return
	}
	dsk.own.AddRunning(now, yuccagrant.Running{
		Request: askOf(now, from, message.Ask), Target: message.Target, Started: message.Begun,
		Sent: now.Add(-time.Duration(message.AgeMillis) * time.Millisecond),
	})
}
