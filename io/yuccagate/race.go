package yuccagate

import (
	"context"
	"net/http"
	"slices"
	"time"

	"yuccacleat/core/yuccagrant"
)

const (
	// silenceRatio and silenceSlack define the time without a first event after which another target is looked
	// for: three times the predicted time, the same multiple as in yuccagrant, plus the variation that
	// occurs on a target that runs a large batch.
	silenceRatio = 3
	silenceSlack = 300 * time.Millisecond
	// maxSoundSilence is how long a sound target may be silent, with some time for this daemon. A run that can't go
	// on beside another one isn't ended before, unless the caller waits no longer than that: then it is after the
	// share silenceShare of the time that its caller waits.
	maxSoundSilence = 2500 * time.Millisecond
	silenceShare    = 0.7
	// seekAgainAfter is the time after which a target is looked for again to replace a silent one.
	seekAgainAfter = 500 * time.Millisecond
	// maxSends bounds how often a request is sent in all.
	maxSends = 6
	// replacementHoldBytes is how much of a plain response is read before it replaces a silent target's. Most are shorter, so that
	// one that breaks off replaces nothing.
	replacementHoldBytes = 256 << 10
)

// race has a request served by the first target that answers, of those to which it has been sent.
//
// A sound target may be silent for seconds. So a request whose target is silent stays there until another one
// has answered, or until nothing more can come of it.
type race struct {
	req *callerRequest
	ctx context.Context
	// lastEventID is the id of the event after which targets are to continue the stream, empty if they are to send all.
	// lastEventAt is when the caller got the last event in this response, zero if it got none.
	lastEventID string
	lastEventAt time.Time

	// pending are the attempts whose exchanges run, and ended receives those that have ended.
	pending []*attempt
	ended   chan *attempt
	// seeking is the placement whose decision is awaited, or nil.
	seeking *placement
	// failure is the last attempt whose target responded with an error, or nil. It is relayed if nothing better comes.
	failure *attempt
	// silence fires when the last attempt's target has been silent for too long.
	silence *time.Timer
}

func newRace(ctx context.Context, req *callerRequest, lastEventID string, lastEventAt time.Time) *race {
	rc := &race{req: req, ctx: ctx, lastEventID: lastEventID, lastEventAt: lastEventAt, ended: make(chan *attempt, maxSends)}
	rc.silence = time.NewTimer(time.Hour)
	rc.silence.Stop()
	return rc
}

// resumes reports whether the caller has already got events in this response, so that only a stream suits it.
func (rc *race) resumes() bool { return !rc.lastEventAt.IsZero() }

// run returns the attempt whose response is to be relayed, or a problem if there is none. Granted is a target that has
// been granted already, or nil.
func (rc *race) run(granted *grant) (*attempt, *Problem) {
	defer rc.silence.Stop()
	if granted != nil {
		rc.seeking = granted.plc
		if prob := rc.onDecision(granted.dec); prob != nil {
			return rc.finish(nil, prob)
		}
	} else {
		rc.seek()
	}
	for {
		select {
		case att := <-rc.ended:
			if winner, prob := rc.onEnded(att); winner != nil || prob != nil {
				return rc.finish(winner, prob)
			}
		case dec := <-rc.decided():
			if prob := rc.onDecision(dec); prob != nil {
				return rc.finish(nil, prob)
			}
		case <-rc.silence.C:
			rc.onSilence()
		case <-rc.ctx.Done():
			return rc.onOver()
		}
	}
}

// decided returns the channel of the decision that is awaited, or nil if none is.
func (rc *race) decided() <-chan decision {
	if rc.seeking == nil {
		return nil
	}
	return rc.seeking.decision
}

// seek looks for a target.
func (rc *race) seek() {
	rc.seeking = rc.req.gate.newPlacement(rc.req, rc.lastEventAt, len(rc.pending) > 0)
	rc.req.gate.postPlacement(rc.seeking)
}

// onDecision handles the decision on the placement. It returns a problem if nothing can come of the race any more.
func (rc *race) onDecision(dec decision) *Problem {
	plc := rc.seeking
	rc.seeking = nil
	if dec.target != "" && rc.req.endsUnbegun() {
		rc.req.gate.postAbandon(plc)
		return rc.stayOrEnd(rc.req.problemUnsent(errLeaving))
	}
	charged, prob := rc.req.useDecision(rc.ctx, plc, dec)
	if prob != nil {
		return rc.stayOrEnd(prob)
	}
	return rc.begin(plc, dec, charged)
}

// stayOrEnd returns the problem if no attempt is pending. Otherwise a target is looked for again later.
func (rc *race) stayOrEnd(prob *Problem) *Problem {
	if len(rc.pending) == 0 {
		return prob
	}
	rc.req.logDecision("kept waiting", "kind", prob.Kind, "detail", prob.Detail, "pending", len(rc.pending))
	rc.silence.Reset(seekAgainAfter)
	return nil
}

// begin sends the request to a granted target.
func (rc *race) begin(plc *placement, dec decision, charged bool) *Problem {
	if !rc.sideBySide() {
		rc.endPending(errSilent)
	}
	att := rc.req.newAttempt(rc.ctx, plc, dec, rc.lastEventID)
	att.charged = charged
	if rc.req.bound && rc.req.hasRestarted(att.ctx, dec) {
		return rc.onRestarted(att)
	}
	if len(rc.pending) > 0 && rc.req.reserve(replacementHoldBytes-copyBufferBytes) {
		att.holdBytes = replacementHoldBytes
	}
	rc.pending = append(rc.pending, att)
	att.start(func(att *attempt) { rc.ended <- att })
	rc.awaitSilence(dec)
	return nil
}

// sideBySide reports whether another run may be started beside one that goes on: not if runs continue a stream, since
// a continued stream may have one run only.
func (rc *race) sideBySide() bool { return rc.lastEventID == "" }

// onRestarted handles a target that turned out to have restarted, to which nothing was sent.
func (rc *race) onRestarted(att *attempt) *Problem {
	if att.charged {
		rc.req.resend.unsent()
	}
	att.cancel(nil)
	rc.req.gate.postFinished(att.plc, yuccagrant.Finished{Outcome: yuccagrant.Misdirected})
	return rc.goOn(yuccagrant.Misdirected)
}

// awaitSilence sets when another target is looked for because the last one is silent.
func (rc *race) awaitSilence(dec decision) {
	switch {
	case !rc.mayReplace():
		rc.silence.Stop()
	case rc.sideBySide():
		rc.silence.Reset(silenceRatio*dec.decisionInputs.expectedFirst + silenceSlack)
	default:
		rc.silence.Reset(rc.req.soundSilence(time.Now()))
	}
}

// soundSilence returns how long the target of a stream may send nothing from now on until another one is looked for.
func (req *callerRequest) soundSilence(now time.Time) time.Duration {
	left := req.deadline.Sub(now)
	if timeout := req.info.EventTimeout; timeout > 0 {
		left = min(left, timeout)
	}
	if left > maxSoundSilence {
		return maxSoundSilence
	}
	return time.Duration(silenceShare * float64(left))
}

// mayReplace reports whether the request may be sent to another target while attempts are pending.
func (rc *race) mayReplace() bool {
	req := rc.req
	return req.route.Repeatable() && req.runs+len(rc.pending) < req.route.Attempts && req.sends < maxSends
}

// onSilence looks for another target, because those that have the request are silent, if the budget allows
// to send it to one.
func (rc *race) onSilence() {
	if rc.seeking != nil || len(rc.pending) == 0 || !rc.mayReplace() || !rc.req.confirmVersion() {
		return
	}
	for _, att := range rc.pending {
		att.silent = true
	}
	allowed, fields := rc.req.mayResend()
	rc.req.logDecision("silent", append(fields, "may", allowed)...)
	if allowed {
		rc.seek()
	}
}

// onEnded handles an attempt whose exchange has ended. It returns the attempt to relay, or a problem if nothing
// can come of the race any more.
func (rc *race) onEnded(att *attempt) (*attempt, *Problem) {
	index := slices.Index(rc.pending, att)
	if index < 0 {
		return nil, nil
	}
	rc.pending = slices.Delete(rc.pending, index, index+1)
	rc.req.countSilence(att, false)
	outcome := rc.req.settle(att)
	if outcome == yuccagrant.Served && rc.resumes() && !rc.continues(att) {
		outcome = yuccagrant.Failed
	}
	switch {
	case outcome == yuccagrant.Served:
		return att, nil
	case outcome == yuccagrant.Failed && !rc.resumes():
		return rc.onFailure(att)
	case outcome == yuccagrant.Broken:
		rc.req.finishAttempt(rc.ctx, att, yuccagrant.Finished{TimeToFirst: att.timeToFirst}, att.broke)
	default:
		att.close()
		rc.req.gate.postFinished(att.plc, yuccagrant.Finished{Outcome: outcome, Load: att.report.Load})
	}
	return nil, rc.goOn(outcome)
}

// continues reports whether the target's response continues a stream.
func (rc *race) continues(att *attempt) bool {
	return att.answer.Status == http.StatusOK && att.isStream()
}

// onFailure handles a target's own error response, which is relayed if nothing better comes.
func (rc *race) onFailure(att *attempt) (*attempt, *Problem) {
	over := rc.ctx.Err() != nil
	if over || rc.underWay() || rc.req.shouldResend(yuccagrant.Failed) {
		rc.req.gate.postFinished(att.plc, yuccagrant.Finished{Outcome: yuccagrant.Failed, Load: att.report.Load})
		rc.failure.drop()
		rc.failure = att
		if !over && !rc.underWay() {
			rc.seek()
		}
		return nil, nil
	}
	return att, nil
}

// underWay reports whether an attempt is pending or a target is looked for.
func (rc *race) underWay() bool { return len(rc.pending) > 0 || rc.seeking != nil }

// goOn looks for another target after an attempt without a response, unless something is under way. It returns a
// problem if the request may not be sent again.
func (rc *race) goOn(outcome yuccagrant.Outcome) *Problem {
	switch {
	case len(rc.pending) > 0 && rc.seeking == nil:
		rc.silence.Reset(seekAgainAfter)
		return nil
	case rc.underWay():
		return nil
	case rc.ctx.Err() != nil || !rc.req.confirmVersion() || !rc.req.shouldResend(outcome):
		return rc.req.problemAfterFailure(rc.ctx, outcome)
	}
	rc.seek()
	return nil
}

// onOver ends the race when its context has ended. A response that is whole is delivered nevertheless.
func (rc *race) onOver() (*attempt, *Problem) {
	cause := context.Cause(rc.ctx)
	var whole *attempt
	for _, att := range slices.Clone(rc.pending) {
		<-att.done
		winner, _ := rc.onEnded(att)
		if whole == nil && winner != nil && winner.whole() {
			whole = winner
		} else if winner != nil {
			rc.drop(winner, yuccagrant.Dropped)
		}
	}
	if whole != nil {
		return rc.finish(whole, nil)
	}
	return rc.finish(nil, rc.req.problemUnsent(cause))
}

// finish ends what is still under way. It returns the winner, or the error response of a target in place of the problem.
func (rc *race) finish(winner *attempt, prob *Problem) (*attempt, *Problem) {
	if rc.seeking != nil {
		rc.req.gate.postAbandon(rc.seeking)
		rc.seeking = nil
	}
	rc.endPending(errReplaced)
	if winner == nil && rc.failure != nil && (rc.ctx.Err() == nil || rc.failure.whole()) {
		// The request ran, so responding that it didn't would be wrong. The target's own error
		// response tells the caller more than a response of the gateway would.
		rc.req.logDecision("kept", "kind", prob.Kind, "detail", prob.Detail, "status", rc.failure.answer.Status, "target", rc.failure.plc.target)
		return rc.failure, nil
	}
	rc.failure.drop()
	return winner, prob
}

// endPending ends the pending attempts with a cause.
func (rc *race) endPending(cause error) {
	for _, att := range rc.pending {
		att.end(cause)
		rc.req.settle(att)
		rc.req.countSilence(att, true)
		outcome := yuccagrant.Dropped
		if att.silent {
			outcome = yuccagrant.Lost
		}
		rc.drop(att, outcome)
	}
	rc.pending = nil
}

// countSilence counts a silent target that has been replaced, or whose silence has ended.
func (req *callerRequest) countSilence(att *attempt, replaced bool) {
	if !att.silent {
		return
	}
	req.gate.metrics.silenceEnded(replaced)
	req.logDecision("silence ended", "target", att.dec.target, "replaced", replaced, "sinceSentMillis", time.Since(att.sentAt).Milliseconds())
}

// drop closes an attempt that isn't relayed and reports its outcome.
func (rc *race) drop(att *attempt, outcome yuccagrant.Outcome) {
	att.close()
	rc.req.gate.postFinished(att.plc, yuccagrant.Finished{Outcome: outcome, Load: att.report.Load})
}
