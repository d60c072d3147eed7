package yuccagate

import (
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

const (
	// sendsWholeInterval is the time between two reports of all sends of the last second, and sendsIdleInterval the longest
	// time between two reports.
	sendsWholeInterval = time.Second
	sendsIdleInterval  = 200 * time.Millisecond
	// sendsFreshFor is how old the last report may be for a daemon that takes over to know all sends of its predecessor. It
	// is longer than the other daemons take to find that the predecessor's process has ended.
	sendsFreshFor = 600 * time.Millisecond
)

// sendsReport is the state of a leader's reports of its sends to the daemon that would lead next.
type sendsReport struct {
	to yuccaid.Incarnation
	// former is the leader before this one.
	former yuccaid.Incarnation
	// number is that of the last report.
	number uint64
	// at is when the last report was sent, and wholeAt when the last report of all sends of a second was sent.
	at      time.Time
	wholeAt time.Time
}

// sendsSeen is the state of the reports that a daemon has received of the sends of a pool's leader.
type sendsSeen struct {
	from yuccaid.Incarnation
	// number is that of the last report, and at is when it arrived.
	number uint64
	at     time.Time
	// complete reports whether the daemon knows all sends of the second before at.
	complete bool
}

// covers reports whether a daemon that takes over from a leader knows all of its sends of the last second.
func (seen *sendsSeen) covers(now time.Time, former yuccaid.Incarnation) bool {
	return seen.complete && seen.from == former && !former.IsZero() && now.Sub(seen.at) < sendsFreshFor
}

// reportSends reports this leader's sends to targets that may be cold to the daemon that would lead next, so that both
// together keep to the budget if this daemon ends within a second.
func (gate *Gate) reportSends(now time.Time, sched *scheduler) {
	if !sched.budgetRole.limit.Applies() {
		return
	}
	report, next := &sched.sendsReport, gate.nextLeader(sched.pool)
	sends := sched.local.TakeNewSends()
	if next.IsZero() {
		return
	}
	whole := report.to != next || now.Sub(report.wholeAt) >= sendsWholeInterval
	switch {
	case whole:
		sends = sched.local.RecentSends(now)
	case len(sends) == 0 && now.Sub(report.at) < sendsIdleInterval:
		return
	}
	if report.to != next {
		*report = sendsReport{to: next, former: report.former}
	}
	gate.sendSends(now, sched, next, whole, sends)
}

// sendSends reports sends to a daemon. If whole is true, they are all sends of the last second; otherwise, those since the
// last report.
func (gate *Gate) sendSends(now time.Time, sched *scheduler, to yuccaid.Incarnation, whole bool, sends []yuccagrant.Send) {
	report := &sched.sendsReport
	report.number++
	report.at = now
	if whole {
		report.wholeAt = now
	}
	message := yuccawire.Sends{Pool: sched.pool, Number: report.number, Whole: whole}
	for _, each := range sends {
		message.Sends = append(message.Sends, yuccawire.TargetSend{Target: each.Target, AgeMillis: now.Sub(each.At).Milliseconds()})
	}
	gate.send(to, yuccawire.KindSends, message)
}

// nextLeader returns the daemon of this data centre that would lead a pool if this one ended, or zero if there is no other.
func (gate *Gate) nextLeader(pool yuccaid.Pool) yuccaid.Incarnation {
	var next yuccapeer.Member
	for _, member := range gate.peers.Live(gate.settings.Centre) {
		if member.Incarnation == gate.incarnation {
			continue
		}
		if next.Incarnation.IsZero() || gate.peers.Precedes(pool, member.VM, next.VM) {
			next = member
		}
	}
	return next.Incarnation
}

// onSends takes a report of the sends of a pool's leader.
func (gate *Gate) onSends(now time.Time, from yuccaid.Incarnation, message yuccawire.Sends) {
	sched := gate.scheduler(now, message.Pool)
	seen := &sched.sendsSeen
	follows := seen.from == from && message.Number == seen.number+1
	*seen = sendsSeen{from: from, number: message.Number, at: now, complete: message.Whole || seen.complete && follows}
	var sends []yuccagrant.Send
	for _, each := range message.Sends {
		sends = append(sends, yuccagrant.Send{Target: each.Target, At: now.Add(-time.Duration(each.AgeMillis) * time.Millisecond)})
	}
	sched.local.RecordReported(now, sends, message.Whole)
	if sched.leads && message.Whole && from == sched.sendsReport.former {
		// The former leader noticed the change of leader later than this daemon, and has reported its last sends only now.
		sched.local.TakeOver(now, true)
	}
}

// handOver passes the budgets of targets that may be cold from one leader to the next: the one that no longer leads reports
// its sends, and the one that leads now takes them into account.
func (gate *Gate) handOver(now time.Time, sched *scheduler, former yuccaid.Incarnation, ledBefore bool) {
	switch {
	case sched.leads:
		sched.local.TakeOver(now, sched.sendsSeen.covers(now, former))
		sched.sendsReport = sendsReport{former: former}
	case ledBefore && !sched.leader.IsZero() && sched.budgetRole.limit.Applies():
		gate.sendSends(now, sched, sched.leader, true, sched.local.RecentSends(now))
	}
}
