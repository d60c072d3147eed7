package yuccagate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"yuccacleat/core/yuccagrant"
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
		watch := newSilenceWatch(ctx, att)
		err := st.forwardEvents(att, watch)
		replacement := watch.disarm()
		st.req.finishAttempt(ctx, att, st.result, err)
		if err == nil || replacement == nil && !st.mayResume(ctx, err) {
			st.req.giveUp(replacement)
			return err
		}
		next := st.req.resume(ctx, st, replacement, watch.ended)
		if next == nil {
			return err
		}
		att = next
	}
}

// giveUp ends an attempt that isn't needed any more, if there is one.
func (req *callerRequest) giveUp(att *attempt) {
	if att != nil {
		att.end(errReplaced)
		req.dropSettled(att)
	}
}

// mayResume reports whether the stream may be resumed after its present target ended it with the error.
func (st *stream) mayResume(ctx context.Context, err error) bool {
	var writeFailed *callerError
	// Another target can't be told where to continue after an event without an id, and would
	// repeat it.
	return ctx.Err() == nil && !errors.As(err, &writeFailed) && !st.unnumbered && st.req.confirmVersion()
}

// forwardEvents forwards the events of one target, each as soon as it is complete, until the
// stream ends.
func (st *stream) forwardEvents(att *attempt, watch *silenceWatch) error {
	st.result = yuccagrant.Finished{}
	st.begin(att)
	events, err := att.events, error(nil)
	if writeErr := st.sendComments(att); writeErr != nil {
		return writeErr
	}
	for {
		if len(events) > 0 {
			watch.disarm()
			if writeErr := st.sendEvents(att, events); writeErr != nil {
				return writeErr
			}
		}
		if err != nil {
			att.unfinished = att.reader.unfinished()
			return st.end(att, err, att.reader.remainder())
		}
		if !st.unnumbered {
			watch.await(time.Now(), st.lastEventID)
		}
		events, err = att.reader.next()
		if len(events) > 0 {
			now := time.Now()
			st.recordEvents(now, len(events))
			if st.result.Span >= soundAfter {
				st.req.recordSound(now, att)
			}
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

// sendComments sends the caller what came before the first events of an attempt that replaced others.
func (st *stream) sendComments(att *attempt) error {
	if len(att.comments) == 0 {
		return nil
	}
	st.sendHead(att)
	if _, err := st.req.w.Write(att.comments); err != nil {
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
	st.sendHead(att)
	if _, err := st.req.w.Write(remainder); err != nil {
		return &callerError{cause: err}
	}
	return nil
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

// begin records the first events of the attempt's target. It binds the stream to their version, and has it remembered for
// the case that the caller takes the stream up later. That is done before the caller gets the events.
func (st *stream) begin(att *attempt) {
	if len(att.events) == 0 {
		return
	}
	st.firstEventAt = att.sentAt.Add(att.timeToFirst)
	st.lastEventAt = st.firstEventAt
	st.result.TimeToFirst = att.timeToFirst
	st.result.Events = len(att.events)
	st.req.gate.postStarted(att.plc, att.timeToFirst, att.report.Load)
	if !st.req.bound {
		st.req.bind(att.dec.version)
	}
	if st.req.route.Resumable {
		st.req.postBegun(att)
	}
}

// recordEvents updates the result after further events have arrived.
func (st *stream) recordEvents(now time.Time, events int) {
	st.result.LongestGap = max(st.result.LongestGap, now.Sub(st.lastEventAt))
	st.result.Events += events
	st.result.Span = now.Sub(st.firstEventAt)
	st.lastEventAt = now
}

// resume sends the request of a stream that broke off to another target, which continues after the
// last event that the caller has received. It returns the new attempt, or nil if the stream can't
// be resumed. Replacement is the attempt that takes the stream up because its target was silent, or nil, and the channel
// ended receives it.
//
// If streams weren't resumed, the caller of a long response whose target crashes would lose the
// whole response, or retry and have it generated again. A target that resumes the stream only has
// to read the prompt again.
func (req *callerRequest) resume(ctx context.Context, st *stream, replacement *attempt, ended chan *attempt) *attempt {
	rc := newRace(ctx, req, st.lastEventID, st.lastEventAt)
	var att *attempt
	switch {
	case replacement != nil:
		att, _ = rc.runWith(replacement, ended)
	case req.shouldResend(yuccagrant.Broken):
		att, _ = rc.run()
	}
	if att != nil {
		req.logDecision("resumed", "target", att.dec.target, "version", att.dec.version, "position", st.lastEventID)
	}
	return att
}
