package yuccagate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccahop"
)

const (
	// mostSends bounds how often a request is sent although it surely didn't run: a second
	// target is likely to take it, and a fleet that rejects everything isn't asked on.
	mostSends = 3
	// cutBack is when a caller should come back whose request found no target to run it.
	cutBack = 500 * time.Millisecond
)

// attempt is one sending of a request to one target.
type attempt struct {
	tkt    *ticket
	sent   time.Time
	answer *yuccahop.Answer
	word   TargetReport
	watch  *silence
}

// close ends the exchange with the target.
func (att *attempt) close() {
	if att.answer != nil {
		att.answer.Close()
	}
	att.watch.stop()
}

// run sends the request to a target, and to another one where the first surely didn't run
// it or it may be repeated, and hands the answer back.
func (req *request) run(ctx context.Context) *Problem {
	// failure is a target's failure that another target may mend.
	var failure *attempt
	for {
		tkt, place, prob := req.place(ctx)
		if prob != nil && failure != nil && ctx.Err() == nil {
			// It ran: to say now that it didn't would be untrue, and the target's own word
			// says more than one of ours.
			req.told("kept", "kind", prob.Kind, "detail", prob.Detail, "status", failure.answer.Status, "target", failure.tkt.target)
			return req.relay(ctx, failure)
		}
		if prob != nil {
			return prob
		}
		failure.drop()
		att, outcome := req.send(ctx, tkt, place, req.caller.LastEventID)
		failure = nil
		switch {
		case outcome == yuccagrant.Served && att.answer.Status < http.StatusInternalServerError:
			return req.relay(ctx, att)
		case outcome == yuccagrant.Served:
			att.watch.answered()
			if !req.again(yuccagrant.Failed, att) {
				return req.relay(ctx, att)
			}
			req.gate.ended(tkt, yuccagrant.Finished{Outcome: yuccagrant.Failed, Load: att.word.Load})
			failure = att
		default:
			att.close()
			req.gate.ended(tkt, yuccagrant.Finished{Outcome: outcome, Load: att.word.Load})
			if ctx.Err() != nil || !req.again(outcome, att) {
				return req.failed(ctx, outcome)
			}
		}
	}
}

// drop gives up an answer that another one takes the place of.
func (att *attempt) drop() {
	if att != nil {
		att.close()
	}
}

// place waits for a target. A request that has run is never said not to have.
func (req *request) place(ctx context.Context) (*ticket, placed, *Problem) {
	tkt, place, err := req.gate.acquire(ctx, req)
	var prob *Problem
	switch {
	case err != nil:
		prob = req.gaveUp(err)
	case place.problem != nil:
		prob = place.problem
	case place.refusal != nil:
		prob = refused(place)
	}
	if prob != nil && req.runs > 0 && prob.promises() {
		prob = &Problem{Kind: KindLost, Detail: "it ran before: " + string(prob.Kind), inputs: prob.inputs}
	}
	return tkt, place, prob
}

// again reports whether the request may be sent to another target after an outcome.
func (req *request) again(outcome yuccagrant.Outcome, att *attempt) bool {
	may, why := req.mayRepeat(outcome)
	if may && !att.watch.paid.Load() && !req.gate.mayResend(req) {
		may, why = false, "budget of resends"
	}
	req.told("again", "outcome", outcome.String(), "may", may, "why", why, "sends", req.sends, "runs", req.runs)
	return may
}

// mayRepeat reports whether what the request is allows another sending, and why.
func (req *request) mayRepeat(outcome yuccagrant.Outcome) (may bool, why string) {
	switch outcome {
	case yuccagrant.Rejected, yuccagrant.Misdirected, yuccagrant.Unreachable:
		return req.sends < mostSends, "not run"
	}
	if !req.route.Repeatable() {
		return false, "may run once"
	}
	return req.runs < max(req.route.Attempts, 1), "attempts of the route"
}

// gaveUp says what becomes of a request that was never sent on this turn.
func (req *request) gaveUp(cause error) *Problem {
	if errors.Is(cause, errTimeout) && req.runs > 0 {
		return &Problem{Kind: KindTimeout}
	}
	detail := "its caller left"
	if errors.Is(cause, errTimeout) {
		detail = "its time is up"
	}
	return &Problem{Kind: KindLate, Detail: detail, RetryAfter: cutBack}
}

// failed says what becomes of a request whose last sending failed.
func (req *request) failed(ctx context.Context, outcome yuccagrant.Outcome) *Problem {
	switch {
	case req.runs == 0:
		return &Problem{Kind: KindRejected, Detail: outcome.String(), RetryAfter: cutBack}
	case errors.Is(context.Cause(ctx), errTimeout):
		return &Problem{Kind: KindTimeout}
	default:
		return &Problem{Kind: KindLost, Detail: outcome.String()}
	}
}

func refused(place placed) *Problem {
	refusal := place.refusal
	kind := KindLate
	switch refusal.Reason {
	case yuccagrant.ReasonNoTarget:
		kind = KindNoTarget
	case yuccagrant.ReasonQueueFull:
		kind = KindBusy
	}
	return &Problem{Kind: kind, Detail: string(refusal.Reason), RetryAfter: refusal.RetryAfter, inputs: []any{
		"leader", place.inputs.leader, "waiting", refusal.QueueLength, "free", refusal.FreeSlots, "waitMillis", refusal.EstimatedWait.Milliseconds(),
		"revision", place.inputs.revision, "newsAgeMillis", place.inputs.age.Milliseconds(),
	}}
}

// send sends the request to the target that it was granted, to go on behind a position.
func (req *request) send(ctx context.Context, tkt *ticket, place placed, position string) (*attempt, yuccagrant.Outcome) {
	att := &attempt{tkt: tkt, sent: time.Now()}
	req.sends++
	req.tried = append(req.tried, place.target)
	out := req.out
	out.Header = req.onward(att.sent, place.target, position)
	own := func(header http.Header) bool { return req.gate.dialect.MatchesRequest(header, req.caller.ID) }
	ctx, att.watch = req.watchSilence(ctx, place.inputs.expect)
	req.gate.metrics.sent(req.shownRank(), place.alone, att.sent.Sub(req.arrived))
	req.logSent(att, place)
	answer, err := req.gate.hop.Send(ctx, place.address, &out, own)
	if err != nil {
		req.told("unanswered", "target", place.target, "send", req.sends, "error", err)
		var unsent *yuccahop.UnsentError
		if errors.As(err, &unsent) {
			return att, yuccagrant.Unreachable
		}
		req.arrivals++
		req.runs++
		cause := context.Cause(ctx)
		if cause != nil && !errors.Is(cause, errTimeout) && !errors.Is(cause, errSilent) {
			return att, yuccagrant.Dropped
		}
		return att, yuccagrant.Lost
	}
	req.arrivals++
	att.answer = answer
	att.word = req.gate.dialect.ReadReport(answer.Status, answer.Header)
	switch {
	case att.word.Misdirected:
		return att, yuccagrant.Misdirected
	case att.word.NotRun:
		return att, yuccagrant.Rejected
	}
	req.runs++
	return att, yuccagrant.Served
}

// logSent tells of a sending and what it was decided from, before it is known what comes of
// it: a target that hangs is seen by what has no further line.
func (req *request) logSent(att *attempt, place placed) {
	req.went("sent",
		"account", req.accountName(), "route", req.routeName(),
		"target", place.target, "send", req.sends, "waitedMillis", att.sent.Sub(req.arrived).Milliseconds(),
		"leader", place.inputs.leader, "alone", place.alone, "expectMillis", place.inputs.expect.Milliseconds(), "busy", place.inputs.busy,
		"number", req.table.Number(), "revision", place.inputs.revision, "newsAgeMillis", place.inputs.age.Milliseconds(),
		"charged", req.caller.Charged, "over", req.over, "prompt", req.caller.Prompt, "answer", req.caller.Answer,
	)
}

func (req *request) accountName() yuccaid.Account {
	if req.account == nil {
		return ""
	}
	return req.account.Name
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
