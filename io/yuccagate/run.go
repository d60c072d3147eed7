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
	word   Word
}

// run sends the request to a target, and to another one where the first surely didn't run
// it or it may be repeated, and hands the answer back.
func (req *request) run(ctx context.Context) *Problem {
	for {
		tkt, place, err := req.gate.acquire(ctx, req)
		if err != nil {
			return req.gaveUp(err)
		}
		if place.problem != nil {
			return place.problem
		}
		if place.refusal != nil {
			return refused(place.refusal)
		}
		att, outcome := req.send(ctx, tkt, place, req.caller.Position)
		switch {
		case outcome == yuccagrant.Served && att.answer.Status < http.StatusInternalServerError:
			return req.relay(ctx, att)
		case outcome == yuccagrant.Served:
			if !req.again(yuccagrant.Failed) {
				return req.relay(ctx, att)
			}
			att.answer.Close()
			req.gate.ended(tkt, yuccagrant.Ended{Outcome: yuccagrant.Failed, Load: att.word.Load})
		default:
			req.gate.ended(tkt, yuccagrant.Ended{Outcome: outcome, Load: att.word.Load})
			if ctx.Err() != nil || !req.again(outcome) {
				return req.failed(ctx, outcome)
			}
		}
	}
}

// again reports whether the request may be sent to another target after an outcome.
func (req *request) again(outcome yuccagrant.Outcome) bool {
	switch outcome {
	case yuccagrant.Rejected, yuccagrant.Misdirected, yuccagrant.Unreachable:
		return req.sends < mostSends && req.gate.mayResend(req)
	default:
		return req.route.Repeatable() && req.runs < max(req.route.Attempts, 1) && req.gate.mayResend(req)
	}
}

// gaveUp says what becomes of a request that was never sent on this turn.
func (req *request) gaveUp(cause error) *Problem {
	if errors.Is(cause, errTimeout) && req.runs > 0 {
		return &Problem{Kind: KindTimeout}
	}
	return &Problem{Kind: KindLate, Back: cutBack}
}

// failed says what becomes of a request whose last sending failed.
func (req *request) failed(ctx context.Context, outcome yuccagrant.Outcome) *Problem {
	switch {
	case req.runs == 0:
		return &Problem{Kind: KindRejected, Detail: outcome.String(), Back: cutBack}
	case errors.Is(context.Cause(ctx), errTimeout):
		return &Problem{Kind: KindTimeout}
	default:
		return &Problem{Kind: KindLost, Detail: outcome.String()}
	}
}

func refused(refusal *yuccagrant.Refusal) *Problem {
	kind := KindLate
	switch refusal.Reason {
	case yuccagrant.ReasonNoTarget:
		kind = KindNoTarget
	case yuccagrant.ReasonFull:
		kind = KindBusy
	}
	return &Problem{Kind: kind, Detail: string(refusal.Reason), Back: refusal.Back}
}

// send sends the request to the target that it was granted, to go on behind a position.
func (req *request) send(ctx context.Context, tkt *ticket, place placed, position string) (*attempt, yuccagrant.Outcome) {
	att := &attempt{tkt: tkt, sent: time.Now()}
	req.sends++
	req.tried = append(req.tried, place.target)
	out := req.out
	out.Header = req.onward(att.sent, place.target, position)
	own := func(header http.Header) bool { return req.gate.dialect.Own(header, req.caller.ID) }
	answer, err := req.gate.hop.Send(ctx, place.address, &out, own)
	req.gate.log.request(req.caller.ID, "sent", "target", place.target, "account", req.accountName(), "route", req.route.Name,
		"waitedMillis", att.sent.Sub(req.arrived).Milliseconds(), "alone", place.alone, "charged", req.caller.Charged, "number", req.table.Number(), "error", text(err))
	if err != nil {
		var unsent *yuccahop.UnsentError
		if errors.As(err, &unsent) {
			return att, yuccagrant.Unreachable
		}
		req.arrivals++
		req.runs++
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout) {
			return att, yuccagrant.Dropped
		}
		return att, yuccagrant.Lost
	}
	req.arrivals++
	att.answer = answer
	att.word = req.gate.dialect.Word(answer.Status, answer.Header)
	switch {
	case att.word.Misdirected:
		answer.Close()
		return att, yuccagrant.Misdirected
	case att.word.NotRun:
		answer.Close()
		return att, yuccagrant.Rejected
	}
	req.runs++
	return att, yuccagrant.Served
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
