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
		Pool: tkt.pool, Number: ask.ID.Number, Class: uint32(ask.Class), Tier: ask.Tier, Rank: ask.Rank, Over: ask.Over, Prompt: ask.Prompt, Answer: ask.Answer,
		AimMillis: ask.Aim.Sub(now).Milliseconds(), UntilMillis: ask.Until.Sub(now).Milliseconds(),
		GapMillis: ask.Gap.Milliseconds(), Tried: ask.Tried,
	}
}

func askOf(now time.Time, owner yuccaid.Incarnation, message yuccawire.Ask) yuccagrant.Ask {
	return yuccagrant.Ask{
		ID: yuccagrant.ID{Owner: owner, Number: message.Number}, Class: yuccagrant.Class(message.Class), Tier: message.Tier, Rank: message.Rank, Over: message.Over, Prompt: message.Prompt, Answer: message.Answer,
		Aim:   now.Add(time.Duration(message.AimMillis) * time.Millisecond),
		Until: now.Add(time.Duration(message.UntilMillis) * time.Millisecond),
		Gap:   time.Duration(message.GapMillis) * time.Millisecond, Tried: message.Tried,
	}
}

func wireEnded(pool yuccaid.Pool, end yuccagrant.Ended) yuccawire.Ended {
	message := yuccawire.Ended{
		Pool: pool, Number: end.ID.Number, Outcome: uint8(end.Outcome), FirstMicro: end.First.Microseconds(),
		Events: end.Events, SpanMicro: end.Span.Microseconds(), PauseMicro: end.Pause.Microseconds(),
	}
	message.Load = wireLoad(end.Load)
	return message
}

func wireLoad(load yuccagrant.Load) []int {
	if !load.Known {
		return nil
	}
	return []int{load.Running, load.Waiting}
}

func loadOf(message []int) yuccagrant.Load {
	if len(message) != 2 {
		return yuccagrant.Load{}
	}
	return yuccagrant.Load{Known: true, Running: message[0], Waiting: message[1]}
}

func endedOf(owner yuccaid.Incarnation, message yuccawire.Ended) yuccagrant.Ended {
	end := yuccagrant.Ended{
		ID: yuccagrant.ID{Owner: owner, Number: message.Number}, Outcome: yuccagrant.Outcome(message.Outcome),
		First: micros(message.FirstMicro), Events: message.Events, Span: micros(message.SpanMicro), Pause: micros(message.PauseMicro),
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
	gate.apply(now, dsk, dsk.own.Ask(now, ask))
	if dsk.own.Waits(ask.ID) {
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
			ID: tkt.ask.ID, Target: message.Target, Expect: time.Duration(message.ExpectMillis) * time.Millisecond, Busy: message.Busy,
		})
	case message.Reason != "":
		gate.refuse(yuccagrant.Refusal{
			ID: tkt.ask.ID, Reason: yuccagrant.Reason(message.Reason), Back: time.Duration(message.BackMillis) * time.Millisecond,
			Waiting: message.Waiting, Free: message.Free, Wait: time.Duration(message.WaitMillis) * time.Millisecond,
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

func (gate *Gate) tellBegun(dsk *desk, tkt *ticket, took time.Duration, load yuccagrant.Load) {
	if !dsk.leads && !dsk.leader.IsZero() {
		gate.send(dsk.leader, yuccawire.KindBegun, yuccawire.Begun{
			Pool: dsk.pool, Number: tkt.ask.ID.Number, TookMicro: took.Microseconds(), Load: wireLoad(load),
		})
	}
}

func (gate *Gate) onBegun(now time.Time, from yuccaid.Incarnation, message yuccawire.Begun) {
	dsk := gate.desk(now, message.Pool)
	gate.apply(now, dsk, dsk.own.Begun(now, yuccagrant.ID{Owner: from, Number: message.Number}, micros(message.TookMicro), loadOf(message.Load)))
}

func (gate *Gate) onEnded(now time.Time, from yuccaid.Incarnation, message yuccawire.Ended) {
	dsk := gate.desk(now, message.Pool)
	gate.apply(now, dsk, dsk.own.Ended(now, endedOf(from, message)))
}

func (gate *Gate) onHolding(now time.Time, from yuccaid.Incarnation, message yuccawire.Holding) {
	dsk := gate.desk(now, message.Ask.Pool)
	if !dsk.leads {
		return
	}
	dsk.own.Hold(now, yuccagrant.Running{
		Ask: askOf(now, from, message.Ask), Target: message.Target, Begun: message.Begun,
		Sent: now.Add(-time.Duration(message.AgeMillis) * time.Millisecond),
	})
}
