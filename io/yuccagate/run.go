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
	// maxUnrunSends is the number of sends after which a request isn't sent again even if the last
	// target certainly didn't run it. A second target is likely to accept it, and if all targets
	// reject everything, further attempts would only add load.
	maxUnrunSends = 3
	// unservedRetryAfter is the retry-after of requests that no target has run.
	unservedRetryAfter = 500 * time.Millisecond
)

// attempt is one attempt to have a request served by one target.
type attempt struct {
	plc *placement
	// version is the target's version, as it was registered when the request was sent.
	version yuccaid.Version
	sentAt  time.Time
	// answer is the target's response, nil if none came. report is what the response's status and
	// header say about the target and the run.
	answer   *yuccahop.Answer
	report   TargetReport
	watchdog *watchdog
	// timeToHead is the time from the sending to the head of a response that isn't a stream. held is
	// the beginning of its body, which was read before any of it was sent to the caller.
	timeToHead time.Duration
	held       []byte
	// unfinished is the length of the part of an event with which a stream ended, in bytes.
	unfinished int
}

// close ends the exchange with the target and cancels the attempt's context.
func (att *attempt) close() {
	if att.answer != nil {
		att.answer.Close()
	}
	att.watchdog.stop()
}

// run sends the request to a target and relays the response. If a target fails, run tries another
// target, provided that the failed target certainly didn't run the request or that the request may
// be repeated.
func (req *callerRequest) run(ctx context.Context) *Problem {
	// failure is the last attempt if its target responded with an error. It is kept until another
	// target is found. If no other target is found, the error response of this attempt is relayed.
	var failure *attempt
	if req.takesUp() {
		if prob := req.bindToOrigin(ctx); prob != nil {
			return prob
		}
	}
	for {
		plc, dec, prob := req.awaitTarget(ctx)
		if prob != nil && failure != nil && ctx.Err() == nil {
			// The request ran, so responding that it didn't would be wrong. The target's own error
			// response tells the caller more than a response of the gateway would.
			req.logDecision("kept", "kind", prob.Kind, "detail", prob.Detail, "status", failure.answer.Status, "target", failure.plc.target)
			return req.relay(ctx, failure)
		}
		if prob != nil {
			return prob
		}
		failure.drop()
		att, outcome := req.send(ctx, plc, dec, req.info.LastEventID)
		failure = nil
		if outcome == yuccagrant.Served {
			if err := req.holdBody(att); err != nil {
				req.finishAttempt(ctx, att, yuccagrant.Finished{TimeToFirst: att.timeToHead}, err)
				if prob := req.problemUnlessResent(ctx, yuccagrant.Broken); prob != nil {
					return prob
				}
				continue
			}
		}
		switch {
		case outcome == yuccagrant.Served && att.answer.Status < http.StatusInternalServerError:
			return req.relay(ctx, att)
		case outcome == yuccagrant.Served:
			att.watchdog.disarm()
			if !req.shouldResend(yuccagrant.Failed) {
				return req.relay(ctx, att)
			}
			req.gate.postFinished(plc, yuccagrant.Finished{Outcome: yuccagrant.Failed, Load: att.report.Load})
			failure = att
		default:
			att.close()
			req.gate.postFinished(plc, yuccagrant.Finished{Outcome: outcome, Load: att.report.Load})
			if prob := req.problemUnlessResent(ctx, outcome); prob != nil {
				return prob
			}
		}
	}
}

// drop closes an attempt that another attempt replaces. It does nothing if the attempt is nil.
func (att *attempt) drop() {
	if att != nil {
		att.close()
	}
}

// awaitTarget waits for a target. If the request has run before, the returned problem never states
// that the request hasn't run.
func (req *callerRequest) awaitTarget(ctx context.Context) (*placement, decision, *Problem) {
	plc, dec, err := req.gate.acquire(ctx, req)
	var prob *Problem
	switch {
	case err != nil:
		prob = req.problemUnsent(err)
	case dec.problem != nil:
		prob = dec.problem
	case dec.refusal != nil:
		prob = refusalProblem(dec)
	case !req.resend.begin():
		req.logDecision("again", "may", false, "why", "budget of resends", "sends", req.sends, "runs", req.runs)
		req.gate.postFinished(plc, yuccagrant.Finished{Outcome: yuccagrant.Dropped})
		prob = req.problemAfterFailure(ctx, yuccagrant.Rejected)
	}
	if prob != nil && req.runs > 0 && prob.promisesNotRun() {
		prob = &Problem{Kind: KindLost, Detail: "it ran before: " + string(prob.Kind), logFields: prob.logFields}
	}
	return plc, dec, prob
}

// shouldResend reports whether the request may be sent to another target after an outcome, and if
// so counts the resend against the budget, unless a watchdog has already counted it.
func (req *callerRequest) shouldResend(outcome yuccagrant.Outcome) bool {
	allowed, reason := req.mayRepeat(outcome)
	fields := []any{"outcome", outcome.String(), "sends", req.sends, "runs", req.runs}
	// A request that has reached no target yet isn't sent a second time.
	if allowed && req.arrivals > 0 {
		inBudget, budgetFields := req.mayResend()
		fields = append(fields, budgetFields...)
		if !inBudget {
			allowed, reason = false, "budget of resends"
		}
	}
	req.logDecision("again", append(fields, "may", allowed, "why", reason)...)
	return allowed
}

// mayRepeat reports whether the outcome and the route allow another attempt, and the reason for
// the log.
func (req *callerRequest) mayRepeat(outcome yuccagrant.Outcome) (allowed bool, reason string) {
	switch outcome {
	case yuccagrant.Rejected, yuccagrant.Misdirected, yuccagrant.Unreachable:
		return req.sends < maxUnrunSends, "not run"
	}
	if !req.route.Repeatable() {
		return false, "may run once"
	}
	return req.runs < max(req.route.Attempts, 1), "attempts of the route"
}

// problemUnsent returns the problem of a request that got no target before its context ended
// with the cause.
func (req *callerRequest) problemUnsent(cause error) *Problem {
	if errors.Is(cause, errTimeout) && req.runs > 0 {
		return &Problem{Kind: KindTimeout}
	}
	detail := "its caller left"
	if errors.Is(cause, errTimeout) {
		detail = "its time is up"
	}
	return &Problem{Kind: KindLate, Detail: detail, RetryAfter: unservedRetryAfter}
}

// problemUnlessResent returns the problem of a request whose attempt ended with the outcome, or nil if
// the request is to be sent to another target.
func (req *callerRequest) problemUnlessResent(ctx context.Context, outcome yuccagrant.Outcome) *Problem {
	if ctx.Err() != nil || !req.shouldResend(outcome) {
		return req.problemAfterFailure(ctx, outcome)
	}
	return nil
}

// problemAfterFailure returns the problem of a request whose last attempt ended with the
// outcome.
func (req *callerRequest) problemAfterFailure(ctx context.Context, outcome yuccagrant.Outcome) *Problem {
	switch {
	case req.runs == 0:
		return &Problem{Kind: KindRejected, Detail: outcome.String(), RetryAfter: unservedRetryAfter}
	case errors.Is(context.Cause(ctx), errTimeout):
		return &Problem{Kind: KindTimeout}
	default:
		return &Problem{Kind: KindLost, Detail: outcome.String()}
	}
}

// refusalProblem returns the problem of a request that a scheduler refused.
func refusalProblem(dec decision) *Problem {
	refusal := dec.refusal
	kind := KindLate
	switch refusal.Reason {
	case yuccagrant.ReasonNoTarget:
		kind = KindNoTarget
	case yuccagrant.ReasonQueueFull:
		kind = KindBusy
	case yuccagrant.ReasonNoVersion:
		kind = KindUnresumable
	}
	return &Problem{Kind: kind, Detail: string(refusal.Reason), RetryAfter: refusal.RetryAfter, logFields: []any{
		"leader", dec.decisionInputs.leader, "waiting", refusal.QueueLength, "free", refusal.FreeSlots, "waitMillis", refusal.EstimatedWait.Milliseconds(),
		"revision", dec.decisionInputs.platformRevision, "newsAgeMillis", dec.decisionInputs.platformAge.Milliseconds(),
	}}
}

// send sends the request to the granted target and waits for the head of the response. If
// lastEventID is set, the target is told to continue the stream after that event.
func (req *callerRequest) send(ctx context.Context, plc *placement, dec decision, lastEventID string) (*attempt, yuccagrant.Outcome) {
	att := &attempt{plc: plc, version: dec.version, sentAt: time.Now()}
	req.sends++
	req.tried = append(req.tried, dec.target)
	outgoing := req.outgoing
	outgoing.Header = req.targetHeader(att.sentAt, dec, lastEventID)
	matches := func(header http.Header) bool { return req.gate.dialect.MatchesRequest(header, req.info.ID) }
	ctx, att.watchdog = req.startWatchdog(ctx, dec.decisionInputs.expectedFirst)
	if req.bound {
		if req.hasRestarted(ctx, dec) {
			req.resend.unsent()
			return att, yuccagrant.Misdirected
		}
		att.sentAt = time.Now()
	}
	req.gate.metrics.sent(req.metricRank(), dec.withoutLeader, att.sentAt.Sub(req.arrivedAt))
	req.logSent(att, dec)
	answer, err := req.gate.targetClient.Send(ctx, dec.address, &outgoing, matches)
	if err != nil {
		req.logDecision("unanswered", "target", dec.target, "send", req.sends, "error", err)
		var unsent *yuccahop.UnsentError
		if errors.As(err, &unsent) {
			req.resend.unsent()
			return att, yuccagrant.Unreachable
		}
		req.resend.arrived()
		req.arrivals++
		req.runs++
		cause := context.Cause(ctx)
		if cause != nil && !errors.Is(cause, errTimeout) && !errors.Is(cause, errSilent) {
			return att, yuccagrant.Dropped
		}
		return att, yuccagrant.Lost
	}
	req.resend.arrived()
	req.arrivals++
	att.answer = answer
	att.report = req.gate.dialect.ReadReport(answer.Status, answer.Header)
	switch {
	case att.report.Misdirected:
		return att, yuccagrant.Misdirected
	case att.report.NotRun:
		return att, yuccagrant.Rejected
	}
	req.runs++
	return att, yuccagrant.Served
}

// logSent logs an attempt and what its decision was made from, before the outcome is known. If no
// further line on the attempt follows, the target probably hangs.
func (req *callerRequest) logSent(att *attempt, dec decision) {
	req.logStep("sent",
		"account", req.accountName(), "route", req.routeName(),
		"target", dec.target, "version", dec.version, "resumes", req.info.Resumes, "from", req.info.LastEventID, "send", req.sends, "waitedMillis", att.sentAt.Sub(req.arrivedAt).Milliseconds(),
		"leader", dec.decisionInputs.leader, "alone", dec.withoutLeader, "expectMillis", dec.decisionInputs.expectedFirst.Milliseconds(), "busy", dec.decisionInputs.busy,
		"number", req.table.Number(), "revision", dec.decisionInputs.platformRevision, "newsAgeMillis", dec.decisionInputs.platformAge.Milliseconds(),
		"charged", req.info.Charged, "over", req.overQuota, "prompt", req.info.Prompt, "answer", req.info.Answer, "parts", len(req.info.Parts), "held", dec.decisionInputs.held, "fetchFrom", dec.decisionInputs.fetchFrom,
	)
}

func (req *callerRequest) accountName() yuccaid.Account {
	if req.account == nil {
		return ""
	}
	return req.account.Name
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
