package yuccagate

import (
	"context"
	"errors"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

const (
	// maxUnrunSends is the number of sends after which a request isn't sent again even if the last
	// target certainly didn't run it. A second target is likely to accept it, and if all targets
	// reject everything, further attempts would only add load.
	maxUnrunSends = 3
	// unservedRetryAfter is the retry-after of requests that no target has run.
	unservedRetryAfter = 500 * time.Millisecond
)

// run has the request served by a target and relays the response.
func (req *callerRequest) run(ctx context.Context) *Problem {
	if prob := req.checkHeld(); prob != nil {
		return prob
	}
	if req.takesUp() {
		if prob := req.bindToOrigin(ctx); prob != nil {
			return prob
		}
	}
	att, prob := newRace(ctx, req, req.info.LastEventID, time.Time{}).run()
	if prob != nil {
		return prob
	}
	return req.relay(ctx, att)
}

// drop closes an attempt that another attempt replaces. It does nothing if the attempt is nil.
func (att *attempt) drop() {
	if att != nil {
		att.close()
	}
}

// useDecision checks a decision on a placement. If the request may be sent to the granted target, useDecision reports
// whether that is charged to the budget of resends. If the request has run before, the returned problem never states
// that the request hasn't run.
func (req *callerRequest) useDecision(ctx context.Context, plc *placement, dec decision) (charged bool, prob *Problem) {
	switch {
	case dec.problem != nil:
		prob = dec.problem
	case dec.refusal != nil:
		prob = refusalProblem(dec)
	default:
		var allowed bool
		if allowed, charged = req.resend.begin(); !allowed {
			req.logDecision("again", "may", false, "why", "budget of resends", "sends", req.sends, "runs", req.runs)
			req.gate.postFinished(plc, yuccagrant.Finished{Outcome: yuccagrant.Dropped})
			prob = req.problemAfterFailure(ctx, yuccagrant.Rejected)
		}
	}
	if prob != nil {
		prob = req.withoutPromise(prob)
	}
	return charged, prob
}

// shouldResend reports whether the request may be sent to another target after an outcome, and if
// so counts the resend against the budget, unless it has already been counted.
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
	if req.trial && outcome != yuccagrant.Unreachable {
		return false, "it tries a part"
	}
	switch outcome {
	case yuccagrant.Rejected, yuccagrant.Misdirected, yuccagrant.Unreachable:
		return req.sends < maxUnrunSends, "not run"
	}
	if !req.route.Repeatable() {
		return false, "may run once"
	}
	if !req.mayRunAgain() {
		return false, "its target crashed on a part"
	}
	return req.runs < max(req.route.Attempts, 1), "attempts of the route"
}

// problemUnsent returns the problem of a request that got no target before its context ended
// with the cause. If the request has run, the problem doesn't state that it hasn't.
func (req *callerRequest) problemUnsent(cause error) *Problem {
	prob := &Problem{Kind: KindLate, Detail: "its caller left", RetryAfter: unservedRetryAfter}
	switch {
	case errors.Is(cause, errLeaving):
		prob = leavingProblem()
	case errors.Is(cause, errTimeout) && req.runs > 0:
		return &Problem{Kind: KindTimeout}
	case errors.Is(cause, errTimeout):
		prob.Detail = "its time is up"
	}
	return req.withoutPromise(prob)
}

// withoutPromise returns the problem, or one that doesn't state that the request hasn't run if it may have run.
func (req *callerRequest) withoutPromise(prob *Problem) *Problem {
	if req.runs == 0 || !prob.promisesNotRun() {
		return prob
	}
	return &Problem{Kind: KindLost, Detail: "it ran before: " + string(prob.Kind), logFields: prob.logFields}
}

// problemAfterFailure returns the problem of a request whose last attempt ended with the
// outcome.
func (req *callerRequest) problemAfterFailure(ctx context.Context, outcome yuccagrant.Outcome) *Problem {
	switch {
	case req.runs == 0 && errors.Is(context.Cause(ctx), errLeaving):
		return leavingProblem()
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
	case yuccagrant.ReasonNoRegion:
		kind = KindNoRegion
	}
	inputs := dec.decisionInputs
	fields := []any{
		"leader", inputs.leader, "waiting", refusal.QueueLength, "free", refusal.FreeSlots, "waitMillis", refusal.EstimatedWait.Milliseconds(),
		"revision", inputs.platformRevision, "newsAgeMillis", inputs.platformAge.Milliseconds(),
	}
	if inputs.excluded != "" || inputs.regions.Limited() {
		fields = append(fields, "regions", inputs.regions.String(), "excluded", inputs.excluded)
	}
	return &Problem{Kind: kind, Detail: string(refusal.Reason), RetryAfter: refusal.RetryAfter, logFields: fields}
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
