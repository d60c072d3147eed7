package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/io/yuccawire"
)

// accountRole, followed by an account, stands for the name of a pool when the data centre chooses
// the daemon that leads the account, because that daemon is chosen in the same way as the leader of
// a pool. The role can't collide with a pool, since names of pools have no spaces.
const accountRole = "quota of "

// lateAnswerWait is how long a leader's decision may still arrive after the request was sent to it.
// If the leader admits the request so late, this daemon returns the charge.
const lateAnswerWait = 5 * time.Second

// admission is a placement whose request waits for the decision of its account's leader.
//
// One daemon of each data centre leads an account: it decides which of the account's requests are
// admitted. If each of hundreds of daemons decided, each could only use its small share of what
// remains of the quota, and would refuse long prompts although enough of the quota remains.
type admission struct {
	plc    *placement
	leader yuccaid.Incarnation
	// sentAt is when the request was sent to the leader.
	sentAt time.Time
	// over reports that the request no longer waits, because its caller has left or this daemon has
	// decided. The leader's decision may still arrive.
	over bool
}

// admit decides whether a request is within its account's quota, or asks the account's leader to
// decide. If that leader can't be reached, this daemon decides alone, within its own share of what
// remains of the quota.
func (gate *Gate) admit(now time.Time, plc *placement) {
	account := plc.req.account
	if account == nil || !gate.ledger.HasQuota(account.Name) {
		gate.admitted(now, plc)
		return
	}
	plc.req.quotaAskedAt = now
	leader, found := gate.accountLeader(account.Name)
	switch {
	case !found || now.Before(gate.accountLeadersSuspected[leader]):
		gate.admitAlone(now, plc)
	case leader == gate.incarnation:
		gate.finishAdmission(now, plc, gate.incarnation, gate.ledger.AdmitAsLeader(now, account.Name, plc.req.quotaCost(), plc.req.route.Rank))
	default:
		gate.askAccountLeader(now, plc, leader)
	}
}

// accountLeader returns the daemon of this data centre that leads an account, and false if none is
// known.
func (gate *Gate) accountLeader(account yuccaid.Account) (yuccaid.Incarnation, bool) {
	member, found := gate.peers.Leader(yuccaid.Pool(accountRole + string(account)))
	return member.Incarnation, found && !member.Incarnation.IsZero()
}

// quotaCost returns what the request costs in units of its account's quota.
func (req *callerRequest) quotaCost() float64 { return req.account.Quota.Cost(req.info.Charged) }

// askAccountLeader sends a request to its account's leader for a decision.
func (gate *Gate) askAccountLeader(now time.Time, plc *placement, leader yuccaid.Incarnation) {
	err := gate.hub.Send(leader, yuccawire.KindQuotaRequest, yuccawire.QuotaRequest{
		Number: plc.request.ID.Number, Account: plc.req.account.Name, Cost: int64(plc.req.quotaCost()), Rank: plc.req.route.Rank,
	})
	if err != nil {
		gate.admitAlone(now, plc)
		return
	}
	gate.admissions[plc.request.ID.Number] = admission{plc: plc, leader: leader, sentAt: now}
}

// admitAlone decides on a request without its account's leader.
func (gate *Gate) admitAlone(now time.Time, plc *placement) {
	gate.metrics.admittedAlone()
	gate.finishAdmission(now, plc, gate.incarnation, gate.ledger.Admit(now, plc.req.account.Name, plc.req.quotaCost(), plc.req.route.Rank))
}

// finishAdmission delivers the decision of a daemon on a request.
func (gate *Gate) finishAdmission(now time.Time, plc *placement, decider yuccaid.Incarnation, answer yuccaquota.Answer) {
	req := plc.req
	if answer.Verdict == yuccaquota.HeldAfterRestart && req.takesUp() && gate.ledger.AdmitTakeUp(now, req.account.Name, req.quotaCost()) {
		answer.Verdict, decider = yuccaquota.Admitted, gate.incarnation
	}
	if answer.Verdict != yuccaquota.Admitted {
		gate.metrics.quotaRefused(answer.Verdict)
		req.logDecision("quota", "verdict", answer.Verdict, "cost", int64(req.quotaCost()), "used", answer.Used, "limit", answer.Limit, "mine", answer.UsedByDaemon, "asked", answer.Demand, "rush", answer.DemandLimit, "part", gate.ledger.QuotaShare(), "daemons", gate.ledger.Daemons(), "leader", decider.VM)
		plc.decision <- decision{problem: &Problem{Kind: KindQuota, Detail: string(answer.Verdict), RetryAfter: answer.RetryAfter}}
		return
	}
	req.chargedBy = decider
	req.overQuota = answer.OverQuota
	gate.admitted(now, plc)
}

// admitted submits an admitted request to the scheduler of its pool.
func (gate *Gate) admitted(now time.Time, plc *placement) {
	plc.request.OverQuota = plc.req.overQuota
	gate.resendBudget.CountRequest(now, plc.pool)
	gate.submitPlacement(now, plc)
}

// onQuotaRequest decides on another daemon's request as the leader of its account. A daemon that
// doesn't lead the account, or has no configuration yet, says so, and the sender decides alone.
func (gate *Gate) onQuotaRequest(now time.Time, from yuccaid.Incarnation, message yuccawire.QuotaRequest) {
	leader, found := gate.accountLeader(message.Account)
	if !found || leader != gate.incarnation || !gate.ledger.Configured() {
		gate.send(from, yuccawire.KindQuotaAnswer, yuccawire.QuotaAnswer{Number: message.Number})
		return
	}
	answer := gate.ledger.AdmitAsLeader(now, message.Account, float64(message.Cost), message.Rank)
	gate.send(from, yuccawire.KindQuotaAnswer, yuccawire.QuotaAnswer{
		Number: message.Number, Verdict: answer.Verdict, BackMillis: answer.RetryAfter.Milliseconds(), Over: answer.OverQuota, Used: answer.Used, Limit: answer.Limit,
	})
}

// onQuotaAnswer handles the decision of an account's leader. If the request no longer waits for it,
// what the leader has charged is returned.
func (gate *Gate) onQuotaAnswer(now time.Time, from yuccaid.Incarnation, message yuccawire.QuotaAnswer) {
	waiting, found := gate.admissions[message.Number]
	if !found || waiting.leader != from {
		return
	}
	delete(gate.admissions, message.Number)
	delete(gate.accountLeadersSuspected, from)
	switch {
	case waiting.over && message.Verdict == yuccaquota.Admitted:
		gate.returnQuota(now, from, waiting.plc.req)
	case waiting.over:
	case message.Verdict == "":
		gate.admitAlone(now, waiting.plc)
	default:
		gate.finishAdmission(now, waiting.plc, from, yuccaquota.Answer{
			Verdict: message.Verdict, RetryAfter: time.Duration(message.BackMillis) * time.Millisecond, OverQuota: message.Over, Used: message.Used, Limit: message.Limit,
		})
	}
}

// abandonAdmission ends the wait for the decision on a request whose caller has left.
func (gate *Gate) abandonAdmission(plc *placement) {
	if waiting, found := gate.admissions[plc.request.ID.Number]; found {
		waiting.over = true
		gate.admissions[plc.request.ID.Number] = waiting
	}
}

// tickAdmissions decides alone on the requests whose leader hasn't responded within leaderTimeout,
// and forgets the leader's decisions that haven't arrived within lateAnswerWait.
func (gate *Gate) tickAdmissions(now time.Time) {
	for number, waiting := range gate.admissions {
		switch age := now.Sub(waiting.sentAt); {
		case !waiting.over && age > leaderTimeout:
			waiting.over = true
			gate.admissions[number] = waiting
			gate.suspectAccountLeader(now, waiting)
			gate.admitAlone(now, waiting.plc)
		case waiting.over && age > lateAnswerWait:
			delete(gate.admissions, number)
		}
	}
	for leader, until := range gate.accountLeadersSuspected {
		if !now.Before(until) {
			delete(gate.accountLeadersSuspected, leader)
		}
	}
}

// suspectAccountLeader marks a leader that didn't respond in time as suspected for the time
// suspectFor.
func (gate *Gate) suspectAccountLeader(now time.Time, waiting admission) {
	if _, suspected := gate.accountLeadersSuspected[waiting.leader]; !suspected {
		gate.log.stateChange("account leader doubted", "leader", waiting.leader.VM, "account", waiting.plc.req.accountName(), "silentMillis", now.Sub(waiting.sentAt).Milliseconds())
	}
	gate.accountLeadersSuspected[waiting.leader] = now.Add(suspectFor)
}

// refundQuota takes back the charge of a request that did not run.
func (gate *Gate) refundQuota(req *callerRequest) {
	if req.account == nil {
		return
	}
	gate.control.Post(func(now time.Time) {
		switch {
		case req.chargedBy == yuccaid.Incarnation{}:
		case req.chargedBy != gate.incarnation:
			gate.returnQuota(now, req.chargedBy, req)
		case gate.ledger.MayRefund(now, req.quotaAskedAt):
			gate.ledger.Refund(now, req.account.Name, req.quotaCost())
		}
	})
}

// returnQuota tells an account's leader that a request which it admitted didn't run.
func (gate *Gate) returnQuota(now time.Time, leader yuccaid.Incarnation, req *callerRequest) {
	if !gate.ledger.MayRefund(now, req.quotaAskedAt) {
		return
	}
	gate.send(leader, yuccawire.KindQuotaReturn, yuccawire.QuotaReturn{Account: req.account.Name, Cost: int64(req.quotaCost())})
}

// onQuotaReturn takes back the charge of another daemon's request that did not run.
func (gate *Gate) onQuotaReturn(now time.Time, message yuccawire.QuotaReturn) {
	gate.ledger.Refund(now, message.Account, float64(message.Cost))
}
