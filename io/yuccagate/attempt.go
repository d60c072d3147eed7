package yuccagate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/io/yuccahop"
)

// errSilent is why a run ends whose target has sent nothing for long, once another target has taken the request up.
// errReplaced is why one ends that lost its race.
var (
	errSilent   = errors.New("the target has sent nothing for too long, and another one serves")
	errReplaced = errors.New("another target has answered")
)

// attempt is one attempt to have a request served by one target. While its exchange runs, only the exchange's
// goroutine uses the fields below done.
type attempt struct {
	req *callerRequest
	plc *placement
	dec decision
	// sentAt is when the request was sent. charged reports whether it is charged to the budget of resends.
	sentAt  time.Time
	charged bool
	// lastEventID is the id of the event after which the target is told to continue the stream, empty if it
	// is to send all events.
	lastEventID string
	// replaces reports whether the attempt was started beside others whose targets are silent.
	replaces bool
	// silent reports whether the target had sent nothing for long when another one was looked for.
	silent bool
	// holdBytes is how much of a response that isn't a stream is read before any of it is sent to the caller.
	holdBytes int64
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// done is closed when the exchange has ended.
	done chan struct{}

	// answer is the target's response, nil if none came; then err says why. report is what the response's
	// status and header say about the target and the run.
	answer *yuccahop.Answer
	err    error
	report TargetReport
	// timeToFirst is the time from the sending to the head of a response that isn't a stream, or to the first
	// event of one that is.
	timeToFirst time.Duration
	// held is the beginning of the body of a response that isn't a stream.
	held []byte
	// reader reads the events of a stream through the buffer, and events are the first ones.
	reader *eventReader
	buffer *eventBuffer
	events []event
	// comments are what came before the events of an attempt that replaces others.
	comments []byte
	// broke is why the response broke off before its first event or within what was to be held.
	broke error
	// soundAt is when it was last recorded that the run goes on and its shared parts can't be why targets crash, zero if it
	// hasn't come so far. endRecorded reports whether its end has been recorded.
	soundAt     time.Time
	endRecorded bool
	// unfinished is the length of the part of an event with which a stream ended, in bytes.
	unfinished int
}

// newAttempt returns an attempt at a granted target, and counts it.
func (req *callerRequest) newAttempt(ctx context.Context, plc *placement, dec decision, lastEventID string) *attempt {
	att := &attempt{
		req: req, plc: plc, dec: dec, sentAt: time.Now(), lastEventID: lastEventID,
		holdBytes: copyBufferBytes, buffer: req.takeEventBuffer(), done: make(chan struct{}),
	}
	att.ctx, att.cancel = context.WithCancelCause(ctx)
	req.sends++
	req.tried = append(req.tried, att.dec.target)
	return att
}

// start sends the request on a goroutine of its own, which passes the attempt to the function ended.
func (att *attempt) start(ended func(*attempt)) {
	req := att.req
	att.sentAt = time.Now()
	outgoing := req.outgoing
	outgoing.Header = req.targetHeader(att.sentAt, att.dec, att.lastEventID)
	req.gate.metrics.sent(req.metricRank(), att.dec.withoutLeader, att.sentAt.Sub(req.arrivedAt))
	req.logSent(att)
	go func() {
		att.exchange(&outgoing)
		close(att.done)
		ended(att)
	}()
}

// exchange sends the request, waits for the head of the response, and reads its beginning.
func (att *attempt) exchange(outgoing *yuccahop.Outgoing) {
	req := att.req
	matches := func(header http.Header) bool { return req.gate.dialect.MatchesRequest(header, req.info.ID) }
	att.answer, att.err = req.gate.targetClient.Send(att.ctx, att.dec.address, outgoing, matches)
	if att.err != nil {
		return
	}
	att.timeToFirst = time.Since(att.sentAt)
	att.report = req.gate.dialect.ReadReport(att.dec.target, att.answer.Status, att.answer.Header)
	switch {
	case att.report.Misdirected || att.report.NotRun:
	case att.isStream():
		att.awaitEvent()
	default:
		att.broke = att.holdBody()
	}
}

// isStream reports whether the target's response is forwarded event by event: the route is a
// streaming route and the response is a stream of events.
func (att *attempt) isStream() bool {
	return att.answer != nil && att.req.isStream(att.answer)
}

// awaitEvent reads a stream up to its first event.
func (att *attempt) awaitEvent() {
	att.reader = newEventReader(att.answer, att.buffer)
	att.events, att.broke = att.reader.next()
	for att.replaces && att.broke == nil && !hasEvent(att.events) {
		att.comments = appendRaw(att.comments, att.events)
		att.events, att.broke = att.reader.next()
	}
	att.timeToFirst = time.Since(att.sentAt)
	if att.broke == nil {
		return
	}
	att.unfinished = att.reader.unfinished()
	if att.broke == io.EOF && !att.endedBeforeItBegan() {
		att.broke = nil
	} else if att.broke == io.EOF {
		att.broke = errNoEvent
	}
}

// hasEvent reports whether one of the events has a field. Comments say nothing about whether a stream is going to come.
func hasEvent(events []event) bool {
	return slices.ContainsFunc(events, func(ev event) bool { return hasField(ev.raw) })
}

func appendRaw(to []byte, events []event) []byte {
	for _, ev := range events {
		to = append(to, ev.raw...)
	}
	return to
}

// succeeded reports whether the attempt, whose exchange has ended, has a stream's first event.
func (att *attempt) succeeded() bool {
	return att.err == nil && att.broke == nil && att.isStream() && att.answer.Status == http.StatusOK
}

// dropUnsent ends an attempt of which nothing was sent.
func (att *attempt) dropUnsent(outcome yuccagrant.Outcome) {
	if att.charged {
		att.req.resend.unsent()
	}
	att.close()
	att.req.gate.postFinished(att.plc, yuccagrant.Finished{Outcome: outcome})
}

// endedBeforeItBegan reports whether a stream that has ended without an event was most likely broken off before its
// first one: nothing but the close of the connection says that it is complete. A stream that continues after an event
// may have nothing left.
func (att *attempt) endedBeforeItBegan() bool {
	return att.lastEventID == "" && att.answer.Status == http.StatusOK && att.answer.Framing() == yuccahop.FramedByClose
}

// whole reports whether the whole response has been read.
func (att *attempt) whole() bool {
	return att.answer != nil && !att.isStream() && att.answer.Whole()
}

// end ends the exchange with a cause and waits for its goroutine.
func (att *attempt) end(cause error) {
	att.cancel(cause)
	<-att.done
	att.close()
}

// close ends the exchange with the target, whose goroutine has ended, and cancels the attempt's context.
func (att *attempt) close() {
	if att.answer != nil {
		att.answer.Close()
	}
	att.cancel(nil)
	att.req.giveEventBuffer(att.buffer)
	att.buffer = nil
}

// settle counts an attempt whose exchange has ended, and returns its outcome.
func (req *callerRequest) settle(att *attempt) yuccagrant.Outcome {
	var unsent *yuccahop.UnsentError
	if att.err != nil {
		req.logDecision("unanswered", "target", att.dec.target, "send", req.sends, "error", att.err)
	}
	if errors.As(att.err, &unsent) {
		req.recordRunEnd(att, yuccagrant.Unreachable, 0)
		if att.charged {
			req.resend.unsent()
		}
		return yuccagrant.Unreachable
	}
	if att.charged {
		req.resend.arrived()
	}
	req.arrivals++
	switch {
	case att.err == nil && att.report.Misdirected:
		return yuccagrant.Misdirected
	case att.err == nil && att.report.NotRun:
		return yuccagrant.Rejected
	}
	req.runs++
	switch {
	case att.err != nil:
		outcome := lostOutcome(context.Cause(att.ctx))
		req.recordRunEnd(att, outcome, 0)
		return outcome
	case att.broke != nil:
		req.recordRunEnd(att, yuccagrant.Broken, 0)
		return yuccagrant.Broken
	case att.makesUnprovenPromise():
		req.logDecision("promise withheld", "target", att.dec.target, "status", att.answer.Status, "sends", req.sends, "runs", req.runs)
		return yuccagrant.Failed
	case att.answer.Status >= http.StatusInternalServerError:
		return yuccagrant.Failed
	}
	return yuccagrant.Served
}

// makesUnprovenPromise reports whether the status of the target's response tells the caller that the request hasn't run, though
// the target doesn't state that. It may have run. The caller would send it once more.
func (att *attempt) makesUnprovenPromise() bool {
	return att.answer != nil && promisesNotRun(att.answer.Status)
}

// lostOutcome returns the outcome of an attempt that got no response and whose context ended with the cause,
// nil if it didn't end.
func lostOutcome(cause error) yuccagrant.Outcome {
	if cause != nil && !errors.Is(cause, errTimeout) && !errors.Is(cause, errSilent) {
		return yuccagrant.Dropped
	}
	return yuccagrant.Lost
}

// logSent logs an attempt and what its decision was made from, before the outcome is known. If no
// further line on the attempt follows, the target probably hangs.
func (req *callerRequest) logSent(att *attempt) {
	dec, info, inputs := &att.dec, &req.info, &att.dec.decisionInputs
	req.logStep("sent",
		"account", req.accountName(), "route", req.routeName(),
		"target", dec.target, "version", dec.version, "resumes", info.Resumes, "from", info.LastEventID,
		"send", req.sends, "waitedMillis", att.sentAt.Sub(req.arrivedAt).Milliseconds(),
		"leader", inputs.leader, "alone", dec.withoutLeader, "expectMillis", inputs.expectedFirst.Milliseconds(), "busy", inputs.busy,
		"number", req.table.Number(), "revision", inputs.platformRevision, "newsAgeMillis", inputs.platformAge.Milliseconds(),
		"charged", info.Charged, "over", req.overQuota, "prompt", info.Prompt, "answer", info.Answer,
		"parts", len(info.Parts), "shared", info.SharedParts, "content", req.content, "held", inputs.held, "fetchFrom", inputs.fetchFrom,
	)
}
