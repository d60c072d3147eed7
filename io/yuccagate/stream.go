package yuccagate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/io/yuccahop"
)

var errNoEvent = errors.New("the stream ended without an event, and nothing states its end")

// stream is the response to one caller as a stream of events. If the stream is resumed, its events
// come from one target after another.
type stream struct {
	req     *callerRequest
	control *http.ResponseController
	// lastEventID is the id of the last event that the caller has received. At first it is the id
	// that the caller's request states, or empty.
	lastEventID string
	// unnumbered reports whether the caller has received an event without an id after that event.
	unnumbered bool
	// headSent reports whether the response's head has been sent to the caller.
	headSent bool
	// firstEventAt and lastEventAt are when the first and the last event of the present run arrived.
	firstEventAt, lastEventAt time.Time
	// result describes the run on the present target, up to the last event that has arrived.
	result yuccagrant.Finished
}

func newStream(req *callerRequest) *stream {
	return &stream{req: req, control: http.NewResponseController(req.w), lastEventID: req.info.LastEventID}
}

// relay copies the stream, and resumes it from another target if the present one breaks off and
// the route allows it.
func (st *stream) relay(ctx context.Context, att *attempt) error {
	for {
		err := st.forwardEvents(att)
		st.req.finishAttempt(ctx, att, st.result, err)
		if err == nil {
			return nil
		}
		var writeFailed *callerError
		// Another target can't be told where to continue after an event without an id, and would
		// repeat it.
		if ctx.Err() != nil || errors.As(err, &writeFailed) || st.unnumbered || !st.req.confirmVersion() {
			return err
		}
		next := st.req.resume(ctx, st)
		if next == nil {
			return err
		}
		att = next
	}
}

// forwardEvents forwards the events of one target, each as soon as it is complete, until the
// stream ends.
func (st *stream) forwardEvents(att *attempt) error {
	reader := newEventReader(att.answer)
	st.result = yuccagrant.Finished{}
	for {
		events, err := reader.next()
		if len(events) > 0 {
			st.recordEvents(time.Now(), att, len(events))
			if writeErr := st.sendEvents(att, events); writeErr != nil {
				return writeErr
			}
		}
		if err != nil {
			att.unfinished = reader.unfinished()
			return st.end(att, err, reader.remainder())
		}
	}
}

// sendEvents sends events to the caller, except those that the caller has already received.
func (st *stream) sendEvents(att *attempt, events []event) error {
	st.sendHead(att)
	for _, ev := range events {
		if st.delivered(ev.id) {
			continue
		}
		if _, err := st.req.w.Write(ev.raw); err != nil {
			return &callerError{cause: err}
		}
		st.recordPosition(ev)
	}
	if err := st.control.Flush(); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// end ends the forwarding of one target's events, after reading has ended with the error. If the stream
// is complete, end sends the caller what follows the last event, and returns nil.
func (st *stream) end(att *attempt, err error, remainder []byte) error {
	if err != io.EOF {
		return err
	}
	if st.endedBeforeItBegan(att) {
		return errNoEvent
	}
	st.sendHead(att)
	if _, err := st.req.w.Write(remainder); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// endedBeforeItBegan reports whether a stream that has ended was most likely broken off before its first
// event: it brought no event, and nothing but the close of the connection says that it is complete. A
// stream that continues after an event may have nothing left.
func (st *stream) endedBeforeItBegan(att *attempt) bool {
	return st.result.Events == 0 && st.lastEventID == "" && att.answer.Status == http.StatusOK && att.answer.Framing() == yuccahop.FramedByClose
}

// delivered reports whether the event with the id has already been sent to the caller. A target
// that resumes a stream should start after the event whose id it was given. If it starts earlier,
// this check keeps events from being sent twice. Ids that aren't numbers can't be compared, so
// their events are always sent.
func (st *stream) delivered(id string) bool {
	if id == "" || st.lastEventID == "" {
		return false
	}
	eventNumber, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	lastNumber, err := strconv.ParseInt(st.lastEventID, 10, 64)
	return err == nil && eventNumber <= lastNumber
}

// sendHead sends the head of the first target's response to the caller. When the stream is resumed,
// the heads of later targets' responses are not sent.
func (st *stream) sendHead(att *attempt) {
	if !st.headSent {
		st.headSent = true
		st.req.writeHead(att)
	}
}

// recordPosition updates the position in the stream after an event has been sent to the caller.
func (st *stream) recordPosition(ev event) {
	if ev.id != "" {
		st.lastEventID = ev.id
		st.unnumbered = false
		return
	}
	st.unnumbered = st.unnumbered || hasField(ev.raw)
}

// begin binds the stream to the version of its first event, and has it remembered for the case that the
// caller takes the stream up later. That is done before the caller gets the event.
func (st *stream) begin(att *attempt) {
	if !st.req.bound {
		st.req.bind(att.version)
	}
	if st.req.route.Resumable {
		st.req.postBegun(att)
	}
}

// recordEvents updates the result after events have arrived from the target of the attempt.
func (st *stream) recordEvents(now time.Time, att *attempt, events int) {
	att.watchdog.onEvent()
	if st.result.Events == 0 {
		st.firstEventAt = now
		st.result.TimeToFirst = now.Sub(att.sentAt)
		st.req.gate.postStarted(att.plc, st.result.TimeToFirst, att.report.Load)
		st.begin(att)
	} else {
		st.result.LongestGap = max(st.result.LongestGap, now.Sub(st.lastEventAt))
	}
	st.result.Events += events
	st.result.Span = now.Sub(st.firstEventAt)
	st.lastEventAt = now
}

// resume sends the request of a stream that broke off to another target, which continues after the
// last event that the caller has received. It returns the new attempt, or nil if the stream can't
// be resumed.
//
// If streams weren't resumed, the caller of a long response whose target crashes would lose the
// whole response, or retry and have it generated again. A target that resumes the stream only has
// to read the prompt again.
func (req *callerRequest) resume(ctx context.Context, st *stream) *attempt {
	req.streamBrokeAt = time.Now()
	for req.shouldResend(yuccagrant.Broken) {
		plc, dec, prob := req.awaitTarget(ctx)
		if prob != nil {
			return nil
		}
		att, outcome := req.send(ctx, plc, dec, st.lastEventID)
		if outcome == yuccagrant.Served && att.answer.Status == http.StatusOK && req.isStream(att) {
			req.logDecision("resumed", "target", dec.target, "version", dec.version, "position", st.lastEventID)
			return att
		}
		att.close()
		if outcome == yuccagrant.Served {
			outcome = yuccagrant.Failed
		}
		req.gate.postFinished(plc, yuccagrant.Finished{Outcome: outcome, Load: att.report.Load})
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}
