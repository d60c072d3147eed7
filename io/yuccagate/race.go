package yuccagate

import (
	"context"
	"net/http"
	"slices"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaroute"
)

const (
	// silenceRatio and silenceSlack define the time without a first event after which another target is looked
	// for: three times the predicted time, the same multiple as in yuccagrant, plus the variation that
	// occurs on a target that runs a large batch.
	silenceRatio = 3
	silenceSlack = 300 * time.Millisecond
	// maxSoundSilence is how long a sound target may be silent, with some time for this daemon. A run that can't go
	// on beside another one for long isn't ended before. If its caller waits no longer than that, another target is looked
	// for after the share silenceShare of the time that is left, and not before minSilence: later it would be of no use.
	maxSoundSilence = 2500 * time.Millisecond
	silenceShare    = 0.8
	minSilence      = 1200 * time.Millisecond
	// maxOverlap bounds how long two runs of a continued stream go on side by side. If the later one is rejected, reset or
	// can't be sent within that time, the earlier one goes on.
	maxOverlap = 300 * time.Millisecond
	// maxReplacements bounds how often a request is sent to another target because one is silent.
	maxReplacements = 3
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
	// silence fires when the last attempt's target has been silent for too long. overlap fires when attempts that may not
	// go on beside a replacement have to be ended.
	silence, overlap *time.Timer
	// replacements counts the attempts that were started beside silent ones.
	replacements int
}

func newRace(ctx context.Context, req *callerRequest, lastEventID string, lastEventAt time.Time) *race {
	rc := &race{req: req, ctx: ctx, lastEventID: lastEventID, lastEventAt: lastEventAt, ended: make(chan *attempt, maxSends)}
	rc.silence, rc.overlap = stoppedTimer(), stoppedTimer()
	return rc
}

func stoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// resumes reports whether the caller has already got events in this response, so that only a stream suits it.
func (rc *race) resumes() bool { return !rc.lastEventAt.IsZero() }

// run looks for a target and returns the attempt whose response is to be relayed, or a problem if there is none.
func (rc *race) run() (*attempt, *Problem) {
	rc.seek()
	return rc.await()
}

// runWith does the same with an attempt that has been started, which the channel ended receives.
func (rc *race) runWith(att *attempt, ended chan *attempt) (*attempt, *Problem) {
	rc.pending = append(rc.pending, att)
	rc.ended = ended
	rc.awaitSilence(att.dec)
	return rc.await()
}

// await returns the attempt whose response is to be relayed, or a problem if there is none.
func (rc *race) await() (*attempt, *Problem) {
	defer rc.silence.Stop()
	defer rc.overlap.Stop()
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
		case <-rc.overlap.C:
			rc.endAllButLast(errSilent)
		case <-rc.ctx.Done():
			return rc.onContextDone()
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
		return rc.keepWaiting(rc.req.problemUnsent(errLeaving))
	}
	charged, prob := rc.req.useDecision(rc.ctx, plc, dec)
	if prob != nil {
		return rc.keepWaiting(prob)
	}
	return rc.begin(plc, dec, charged)
}

// keepWaiting returns the problem if no attempt is pending. Otherwise a target is looked for again later.
func (rc *race) keepWaiting(prob *Problem) *Problem {
	if len(rc.pending) == 0 {
		return prob
	}
	rc.req.resend.release()
	rc.req.logDecision("kept waiting", "kind", prob.Kind, "detail", prob.Detail, "pending", len(rc.pending))
	rc.silence.Reset(seekAgainAfter)
	return nil
}

// begin sends the request to a granted target.
func (rc *race) begin(plc *placement, dec decision, charged bool) *Problem {
	att := rc.req.newAttempt(rc.ctx, plc, dec, rc.lastEventID)
	att.charged = charged
	if rc.req.bound && rc.req.hasRestarted(att.ctx, dec) {
		att.dropUnsent(yuccagrant.Misdirected)
		return rc.retryOrFail(yuccagrant.Misdirected)
	}
	if prob := rc.req.beginTrial(); prob != nil {
		att.dropUnsent(yuccagrant.Dropped)
		return rc.keepWaiting(rc.req.withoutPromise(prob))
	}
	if len(rc.pending) > 0 {
		rc.beginReplacement(att)
	}
	rc.pending = append(rc.pending, att)
	att.start(func(att *attempt) { rc.ended <- att })
	rc.awaitSilence(dec)
	return nil
}

// beginReplacement prepares an attempt that is started beside others. Their answers are given up only for one that has come
// so far that it is likely to be whole.
func (rc *race) beginReplacement(att *attempt) {
	rc.replacements++
	att.replaces = true
	if rc.req.route.Kind != yuccaroute.Stream && rc.replacements == 1 && rc.req.reserve(replacementHoldBytes-copyBufferBytes) {
		att.holdBytes = replacementHoldBytes
	}
	if !rc.sideBySide() {
		rc.overlap.Reset(maxOverlap)
	}
}

// sideBySide reports whether another run may go on beside one for long: not if runs continue a stream.
func (rc *race) sideBySide() bool { return rc.lastEventID == "" }

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
	return max(time.Duration(silenceShare*float64(left)), minSilence)
}

// mayReplace reports whether the request may be sent to another target while attempts are pending.
func (rc *race) mayReplace() bool {
	req := rc.req
	return !req.trial && req.route.Repeatable() && req.runs+len(rc.pending) < req.route.Attempts && req.sends < maxSends && rc.replacements < maxReplacements
}

// onSilence looks for another target, because those that have the request are silent, if the budget allows
// to send it to one.
func (rc *race) onSilence() {
	if rc.seeking != nil || len(rc.pending) == 0 || !rc.mayReplace() || !rc.req.confirmVersion() {
		return
	}
	if !rc.req.allowReplacement(rc.pending...) {
		rc.silence.Reset(seekAgainAfter)
		return
	}
	rc.seek()
}

// allowReplacement reports whether the budget allows to send the request to another target, because those of the attempts
// are silent.
func (req *callerRequest) allowReplacement(silent ...*attempt) bool {
	allowed, fields := req.mayResend()
	known := true
	for _, att := range silent {
		known = known && att.silent
		att.silent = true
	}
	if !known {
		req.logDecision("silent", append(fields, "may", allowed)...)
	}
	return allowed
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
	case outcome == yuccagrant.Failed && !rc.resumes() && !att.makesUnprovenPromise():
		return rc.onFailure(att)
	case outcome == yuccagrant.Broken:
		rc.req.finishAttempt(rc.ctx, att, yuccagrant.Finished{TimeToFirst: att.timeToFirst}, att.broke)
	default:
		att.close()
		rc.req.gate.postFinished(att.plc, yuccagrant.Finished{Outcome: outcome, Load: att.report.Load})
	}
	return nil, rc.retryOrFail(outcome)
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

// retryOrFail looks for another target after an attempt without a response, unless something is under way. It returns a
// problem if the request may not be sent again.
func (rc *race) retryOrFail(outcome yuccagrant.Outcome) *Problem {
	switch {
	case len(rc.pending) > 0 && rc.seeking == nil:
		rc.silence.Reset(seekAgainAfter)
		return nil
	case len(rc.pending) > 0 || rc.seeking != nil && !rc.seeking.replaces:
		return nil
	}
	// A target that was looked for to replace another one may not be the other one again; now it may.
	rc.abandonSearch()
	if rc.ctx.Err() != nil || !rc.req.confirmVersion() || !rc.req.shouldResend(outcome) {
		return rc.req.problemAfterFailure(rc.ctx, outcome)
	}
	rc.seek()
	return nil
}

// onContextDone ends the race when its context has ended. A response that is whole is delivered nevertheless.
func (rc *race) onContextDone() (*attempt, *Problem) {
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
	rc.abandonSearch()
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

// abandonSearch withdraws the placement whose decision is awaited, if any.
func (rc *race) abandonSearch() {
	if rc.seeking == nil {
		return
	}
	rc.req.gate.postAbandon(rc.seeking)
	rc.req.resend.release()
	rc.seeking = nil
}

// endPending ends the pending attempts with a cause.
func (rc *race) endPending(cause error) {
	for _, att := range rc.pending {
		rc.endOne(att, cause)
	}
	rc.pending = nil
}

// endAllButLast ends the pending attempts but the last one with a cause.
func (rc *race) endAllButLast(cause error) {
	for len(rc.pending) > 1 {
		rc.endOne(rc.pending[0], cause)
		rc.pending = rc.pending[1:]
	}
}

func (rc *race) endOne(att *attempt, cause error) {
	att.end(cause)
	rc.req.countSilence(att, true)
	rc.req.dropSettled(att)
}

// dropSettled counts an attempt whose exchange has ended and whose response isn't relayed, and reports its outcome.
func (req *callerRequest) dropSettled(att *attempt) {
	outcome := req.settle(att)
	if outcome == yuccagrant.Served || outcome == yuccagrant.Broken {
		outcome = yuccagrant.Dropped
	}
	if att.silent {
		outcome = yuccagrant.Lost
	}
	att.close()
	req.gate.postFinished(att.plc, yuccagrant.Finished{Outcome: outcome, Load: att.report.Load})
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
