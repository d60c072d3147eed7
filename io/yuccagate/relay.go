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

// pieceBytes is how much of an answer is handed on at a time.
const pieceBytes = 16 << 10

// callerError says that an answer could not be handed to its caller.
type callerError struct {
	cause error
}

// Error names the cause.
func (err *callerError) Error() string { return "the caller took no more: " + err.cause.Error() }

// Unwrap returns the network's own error.
func (err *callerError) Unwrap() error { return err.cause }

// relay hands a target's answer to the caller, byte for byte. Once its head is on the way
// no other answer can take its place: if it breaks off and can't be resumed, the caller's
// connection is closed, so that a part never passes for the whole.
func (req *request) relay(ctx context.Context, att *attempt) *Problem {
	if !req.streams(att) {
		if err := req.relayBody(ctx, att); err != nil {
			panic(http.ErrAbortHandler)
		}
		return nil
	}
	flow := &flow{req: req, position: req.caller.LastEventID}
	err := flow.relay(ctx, att)
	switch {
	case err == nil:
		return nil
	case flow.begun:
		panic(http.ErrAbortHandler)
	case errors.Is(context.Cause(ctx), errTimeout):
		return &Problem{Kind: KindTimeout}
	}
	// Nothing has gone to the caller yet, who learns more from an answer than from a closed
	// connection.
	return &Problem{Kind: KindLost, Detail: "the stream broke off before its first event"}
}

// writeHead sends the head of an answer to the caller.
func (req *request) writeHead(att *attempt) {
	header := req.w.Header()
	for name, values := range onwardHeader(att.answer.Header) {
		header[name] = values
	}
	if att.answer.Length >= 0 {
		header["Content-Length"] = att.answer.Header["Content-Length"]
	}
	req.w.WriteHeader(att.answer.Status)
}

func (req *request) streams(att *attempt) bool {
	kind := att.answer.Header.Get("Content-Type")
	return req.route.Kind == yuccaroute.Stream && strings.HasPrefix(kind, "text/event-stream")
}

// finish gives the target's place back and tells how the answer went.
func (req *request) finish(ctx context.Context, att *attempt, end yuccagrant.Finished, err error) {
	end.Load = att.word.Load
	end.Outcome = outcomeOf(ctx, att, err)
	att.close()
	req.gate.ended(att.tkt, end)
	req.logAnswered(att, end, err)
}

func (req *request) logAnswered(att *attempt, end yuccagrant.Finished, err error) {
	req.gate.metrics.answered(req.shownRank(), end.Outcome, att.sent.Add(end.TimeToFirst).Sub(req.arrived), end.LongestGap)
	fields := []any{
		"target", att.tkt.target, "status", att.answer.Status, "outcome", end.Outcome.String(), "firstMillis", end.TimeToFirst.Milliseconds(),
		"events", end.Events, "pauseMillis", end.LongestGap.Milliseconds(), "sends", req.sends, "runs", req.runs,
	}
	if err != nil || end.Outcome != yuccagrant.Served {
		req.told("answered", append(fields, "cause", text(err))...)
		return
	}
	req.went("answered", append(fields, "afterMillis", time.Since(req.arrived).Milliseconds())...)
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

func (req *request) relayBody(ctx context.Context, att *attempt) error {
	att.watch.answered()
	end := yuccagrant.Finished{TimeToFirst: time.Since(att.sent)}
	err := req.pumpBody(att)
	req.finish(ctx, att, end, err)
	return err
}

func (req *request) pumpBody(att *attempt) error {
	req.writeHead(att)
	piece := make([]byte, pieceBytes)
	for {
		got, err := att.answer.Read(piece)
		if got > 0 {
			if _, failed := req.w.Write(piece[:got]); failed != nil {
				return &callerError{cause: failed}
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

// resume sends the request to another target, which goes on behind the last event that the
// caller has, or returns nil.
//
// A target crashes in the middle of a long answer. Its caller would lose all of it, or come
// back and have it generated anew; another target only reads the prompt again.
func (req *request) resume(ctx context.Context, flow *flow, att *attempt) *attempt {
	req.broke = time.Now()
	for req.again(yuccagrant.Broken, att) {
		tkt, place, err := req.gate.acquire(ctx, req)
		if err != nil || place.refusal != nil || place.problem != nil {
			return nil
		}
		next, outcome := req.send(ctx, tkt, place, flow.position)
		att = next
		if outcome == yuccagrant.Served && att.answer.Status == http.StatusOK && req.streams(att) {
			req.told("resumed", "target", place.target, "position", flow.position)
			return att
		}
		att.close()
		if outcome == yuccagrant.Served {
			outcome = yuccagrant.Failed
		}
		req.gate.ended(tkt, yuccagrant.Finished{Outcome: outcome, Load: att.word.Load})
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// flow is a stream on its way to its caller, from one target after the other.
type flow struct {
	req *request
	// position is the id of the last event that the caller has.
	position string
	begun    bool
	// last is when the caller got the last event.
	last time.Time
	// end is what was seen of the present target.
	end yuccagrant.Finished
}

// relay hands on a stream, and goes on with it at another target where the first one breaks
// off and the route allows it.
func (fl *flow) relay(ctx context.Context, att *attempt) error {
	for {
		err := fl.pump(att)
		fl.req.finish(ctx, att, fl.end, err)
		if err == nil {
			return nil
		}
		var caller *callerError
		if ctx.Err() != nil || errors.As(err, &caller) {
			return err
		}
		next := fl.req.resume(ctx, fl, att)
		if next == nil {
			return err
		}
		att = next
	}
}

// pump hands on one target's events, each as soon as it is whole, until the stream ends.
func (fl *flow) pump(att *attempt) error {
	req := fl.req
	control := http.NewResponseController(req.w)
	stream := newEvents(att.answer)
	fl.end = yuccagrant.Finished{}
	var first time.Time
	for {
		list, err := stream.next()
		now := time.Now()
		if first.IsZero() && len(list) > 0 {
			first = now
			fl.end.TimeToFirst = now.Sub(att.sent)
			req.gate.begun(att.tkt, fl.end.TimeToFirst, att.word.Load)
		}
		if len(list) > 0 || err == io.EOF {
			fl.begin(att)
		}
		for _, one := range list {
			if fl.had(one.id) {
				continue
			}
			if _, failed := req.w.Write(one.raw); failed != nil {
				return &callerError{cause: failed}
			}
			if one.id != "" {
				fl.position = one.id
			}
		}
		if len(list) > 0 {
			att.watch.showed()
			if failed := control.Flush(); failed != nil {
				return &callerError{cause: failed}
			}
			fl.seen(now, first, len(list))
		}
		if err == io.EOF {
			if _, failed := req.w.Write(stream.rest()); failed != nil {
				return &callerError{cause: failed}
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// had reports whether the caller already has an event. A target that goes on with a stream
// begins behind the position that it was given; should it begin earlier, nothing comes
// twice.
func (fl *flow) had(id string) bool {
	if id == "" || fl.position == "" {
		return false
	}
	got, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	had, err := strconv.ParseInt(fl.position, 10, 64)
	return err == nil && got <= had
}

// begin sends the head of the first target's answer, which a resumed stream keeps.
func (fl *flow) begin(att *attempt) {
	if !fl.begun {
		fl.begun = true
		fl.req.writeHead(att)
	}
}

func (fl *flow) seen(now, first time.Time, events int) {
	if fl.end.Events > 0 {
		fl.end.LongestGap = max(fl.end.LongestGap, now.Sub(fl.last))
	}
	fl.end.Events += events
	fl.end.Span = now.Sub(first)
	fl.last = now
}
