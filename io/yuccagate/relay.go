package yuccagate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaroute"
)

// copyBufferBytes is the size of the buffer through which a response is copied.
const copyBufferBytes = 16 << 10

// callerError reports that writing a response to its caller failed.
type callerError struct {
	cause error
}

// Error returns the text of the cause.
func (err *callerError) Error() string { return "the caller took no more: " + err.cause.Error() }

// Unwrap returns the cause.
func (err *callerError) Unwrap() error { return err.cause }

// relay copies a target's response to the caller, byte for byte. Once the head has been sent,
// no other response can replace it. If the response breaks off and can't be resumed, the
// caller's connection is closed, so that the caller doesn't take a part for the whole.
func (req *callerRequest) relay(ctx context.Context, att *attempt) *Problem {
	if !req.isStream(att) {
		if err := req.relayBody(ctx, att); err != nil {
			panic(http.ErrAbortHandler)
		}
		return nil
	}
	stream := &stream{req: req, lastEventID: req.info.LastEventID}
	err := stream.relay(ctx, att)
	switch {
	case err == nil:
		return nil
	case stream.headSent:
		panic(http.ErrAbortHandler)
	case errors.Is(context.Cause(ctx), errTimeout):
		return &Problem{Kind: KindTimeout}
	}
	// Nothing has been sent to the caller yet, and a response tells it more than a closed
	// connection.
	return &Problem{Kind: KindLost, Detail: "the stream broke off before its first event"}
}

// writeHead sends the head of a target's response to the caller.
func (req *callerRequest) writeHead(att *attempt) {
	header := req.w.Header()
	for name, values := range forwardableHeader(att.answer.Header) {
		header[name] = values
	}
	if att.answer.Length >= 0 {
		header["Content-Length"] = att.answer.Header["Content-Length"]
	}
	req.w.WriteHeader(att.answer.Status)
}

func (req *callerRequest) isStream(att *attempt) bool {
	kind := att.answer.Header.Get("Content-Type")
	return req.route.Kind == yuccaroute.Stream && strings.HasPrefix(kind, "text/event-stream")
}

// finish frees the target's slot, and reports and logs how the response ended.
func (req *callerRequest) finish(ctx context.Context, att *attempt, result yuccagrant.Finished, err error) {
	result.Load = att.report.Load
	result.Outcome = outcomeOf(ctx, att, err)
	att.close()
	req.gate.finished(att.plc, result)
	req.logAnswered(att, result, err)
}

func (req *callerRequest) logAnswered(att *attempt, result yuccagrant.Finished, err error) {
	req.gate.metrics.answered(req.metricRank(), result.Outcome, att.sent.Add(result.TimeToFirst).Sub(req.arrivedAt), result.LongestGap)
	fields := []any{
		"target", att.plc.target, "status", att.answer.Status, "outcome", result.Outcome.String(), "firstMillis", result.TimeToFirst.Milliseconds(),
		"events", result.Events, "pauseMillis", result.LongestGap.Milliseconds(), "sends", req.sends, "runs", req.runs,
	}
	if err != nil || result.Outcome != yuccagrant.Served {
		req.logDecision("answered", append(fields, "cause", errText(err))...)
		return
	}
	req.logStep("answered", append(fields, "afterMillis", time.Since(req.arrivedAt).Milliseconds())...)
}

func outcomeOf(ctx context.Context, att *attempt, err error) yuccagrant.Outcome {
	var caller *callerError
	switch {
	case ctx.Err() != nil || errors.As(err, &caller):
		return yuccagrant.Dropped
	case err != nil:
		return yuccagrant.Broken
	case att.answer.Status >= http.StatusInternalServerError:
		return yuccagrant.Failed
	}
	return yuccagrant.Served
}

func (req *callerRequest) relayBody(ctx context.Context, att *attempt) error {
	att.watch.disarm()
	result := yuccagrant.Finished{TimeToFirst: time.Since(att.sent)}
	err := req.copyBody(att)
	req.finish(ctx, att, result, err)
	return err
}

func (req *callerRequest) copyBody(att *attempt) error {
	req.writeHead(att)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := att.answer.Read(buf)
		if n > 0 {
			if _, writeErr := req.w.Write(buf[:n]); writeErr != nil {
				return &callerError{cause: writeErr}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// resume sends the request to another target, which continues after the last event that the
// caller has received. It returns nil if that isn't possible.
//
// Without it, the caller of a long response whose target crashes would lose the whole response,
// or retry and have it generated again. Another target only has to read the prompt again.
func (req *callerRequest) resume(ctx context.Context, stream *stream, att *attempt) *attempt {
	req.brokeAt = time.Now()
	for req.shouldResend(yuccagrant.Broken, att) {
		plc, dec, err := req.gate.acquire(ctx, req)
		if err != nil || dec.refusal != nil || dec.problem != nil {
			return nil
		}
		next, outcome := req.send(ctx, plc, dec, stream.lastEventID)
		att = next
		if outcome == yuccagrant.Served && att.answer.Status == http.StatusOK && req.isStream(att) {
			req.logDecision("resumed", "target", dec.target, "position", stream.lastEventID)
			return att
		}
		att.close()
		if outcome == yuccagrant.Served {
			outcome = yuccagrant.Failed
		}
		req.gate.finished(plc, yuccagrant.Finished{Outcome: outcome, Load: att.report.Load})
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// stream copies a stream to its caller, from one target after another.
type stream struct {
	req *callerRequest
	// lastEventID is the id of the last event that the caller has received.
	lastEventID string
	headSent    bool
	// lastEventAt is when the last event was received from a target.
	lastEventAt time.Time
	// result is how the run on the present target has gone so far.
	result yuccagrant.Finished
}

// relay copies the stream, and continues it from another target if the first one breaks off and
// the route allows it.
func (st *stream) relay(ctx context.Context, att *attempt) error {
	for {
		err := st.forwardEvents(att)
		st.req.finish(ctx, att, st.result, err)
		if err == nil {
			return nil
		}
		var caller *callerError
		if ctx.Err() != nil || errors.As(err, &caller) {
			return err
		}
		next := st.req.resume(ctx, st, att)
		if next == nil {
			return err
		}
		att = next
	}
}

// forwardEvents forwards the events of one target, each as soon as it is complete, until the
// stream ends.
func (st *stream) forwardEvents(att *attempt) error {
	req := st.req
	control := http.NewResponseController(req.w)
	reader := newEventReader(att.answer)
	st.result = yuccagrant.Finished{}
	var first time.Time
	for {
		list, err := reader.next()
		now := time.Now()
		if first.IsZero() && len(list) > 0 {
			first = now
			st.result.TimeToFirst = now.Sub(att.sent)
			req.gate.started(att.plc, st.result.TimeToFirst, att.report.Load)
		}
		if len(list) > 0 || err == io.EOF {
			st.sendHead(att)
		}
		for _, ev := range list {
			if st.received(ev.id) {
				continue
			}
			if _, writeErr := req.w.Write(ev.raw); writeErr != nil {
				return &callerError{cause: writeErr}
			}
			if ev.id != "" {
				st.lastEventID = ev.id
			}
		}
		if len(list) > 0 {
			att.watch.onEvent()
			if writeErr := control.Flush(); writeErr != nil {
				return &callerError{cause: writeErr}
			}
			st.recordEvents(now, first, len(list))
		}
		if err == io.EOF {
			if _, writeErr := req.w.Write(reader.remainder()); writeErr != nil {
				return &callerError{cause: writeErr}
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// received reports whether the caller already has an event. A target that resumes a stream
// should start after the event whose id it was given; if it starts earlier, no event is sent
// twice.
func (st *stream) received(id string) bool {
	if id == "" || st.lastEventID == "" {
		return false
	}
	current, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	received, err := strconv.ParseInt(st.lastEventID, 10, 64)
	return err == nil && current <= received
}

// sendHead sends the head of the first target's response, which stays in effect when the stream
// is resumed.
func (st *stream) sendHead(att *attempt) {
	if !st.headSent {
		st.headSent = true
		st.req.writeHead(att)
	}
}

func (st *stream) recordEvents(now, first time.Time, events int) {
	if st.result.Events > 0 {
		st.result.LongestGap = max(st.result.LongestGap, now.Sub(st.lastEventAt))
	}
	st.result.Events += events
	st.result.Span = now.Sub(first)
	st.lastEventAt = now
}
