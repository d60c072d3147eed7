package yuccagate

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/io/yuccahop"
)

// callerError is the error of a failed write of a response to its caller.
type callerError struct {
	cause error
}

// Error returns the text of the cause.
func (err *callerError) Error() string { return "the caller took no more: " + err.cause.Error() }

// Unwrap returns the cause.
func (err *callerError) Unwrap() error { return err.cause }

// relay copies a target's response to the caller, byte for byte. Once the response's head has been
// sent, the gateway can't respond with a problem instead. If the response then breaks off and can't
// be resumed, the caller's connection is closed, so that the caller doesn't take a truncated
// response for a complete one. If a stream breaks off before its head has been sent, relay returns
// a problem.
func (req *callerRequest) relay(ctx context.Context, att *attempt) *Problem {
	if !att.isStream() {
		err := req.relayBody(ctx, att)
		if errors.Is(err, errLeaving) {
			return req.problemAfterFailure(ctx, yuccagrant.Dropped)
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		req.setTruncated(false)
		return nil
	}
	st := newStream(req)
	err := st.relay(ctx, att)
	switch {
	case err == nil:
		req.setTruncated(false)
		return nil
	case st.headSent && !errors.Is(err, errLeaving):
		panic(http.ErrAbortHandler)
	case errors.Is(context.Cause(ctx), errTimeout):
		return &Problem{Kind: KindTimeout}
	}
	// Nothing has been sent to the caller yet, so the gateway can still respond itself. That tells
	// the caller more than a closed connection.
	return &Problem{Kind: KindLost, Detail: "the stream broke off before its first event"}
}

// writeHead sends the head of a target's response to the caller. The length of a stream is left out: if
// the stream is resumed, another target may end it with a different one. If the request was ended before
// because the daemon leaves, writeHead sends nothing, and later writes fail with errLeaving. A response
// that has been read to its end is sent all the same.
func (req *callerRequest) writeHead(att *attempt) {
	if !att.answer.Whole() && !req.start.begin() {
		return
	}
	req.closeIfDraining()
	header := req.w.Header()
	for name, values := range forwardableHeader(att.answer.Header) {
		header[name] = values
	}
	if att.answer.Length >= 0 && !att.isStream() {
		header["Content-Length"] = att.answer.Header["Content-Length"]
	}
	req.setTruncated(true)
	req.w.WriteHeader(att.answer.Status)
}

// isStream reports whether the target's response is forwarded event by event: the route is a
// streaming route and the response is a stream of events.
func (req *callerRequest) isStream(answer *yuccahop.Answer) bool {
	contentType := answer.Header.Get("Content-Type")
	return req.route.Kind == yuccaroute.Stream && strings.HasPrefix(contentType, "text/event-stream")
}

// finishAttempt frees the target's slot, and reports to the schedulers and logs how the response
// ended.
func (req *callerRequest) finishAttempt(ctx context.Context, att *attempt, result yuccagrant.Finished, err error) {
	result.Load = att.report.Load
	result.Outcome = outcomeOf(ctx, att, err)
	req.recordRunEnd(att, result.Outcome, result.Events)
	att.close()
	req.gate.postFinished(att.plc, result)
	req.logAnswered(att, result, err)
}

// logAnswered logs and counts how a target's response ended.
func (req *callerRequest) logAnswered(att *attempt, result yuccagrant.Finished, err error) {
	framing := att.answer.Framing().String()
	req.gate.metrics.answered(req.metricRank(), result.Outcome, att.sentAt.Add(result.TimeToFirst).Sub(req.arrivedAt), result.LongestGap)
	req.gate.metrics.answerEnded(framing, att.unfinished > 0)
	fields := []any{
		"target", att.plc.target, "status", att.answer.Status, "outcome", result.Outcome.String(), "framing", framing,
		"unfinishedBytes", att.unfinished, "firstMillis", result.TimeToFirst.Milliseconds(),
		"events", result.Events, "pauseMillis", result.LongestGap.Milliseconds(), "sends", req.sends, "runs", req.runs,
	}
	if err != nil || result.Outcome != yuccagrant.Served {
		req.logDecision("answered", append(fields, "cause", errText(err))...)
		return
	}
	req.logStep("answered", append(fields, "afterMillis", time.Since(req.arrivedAt).Milliseconds())...)
}

// outcomeOf returns the outcome of a response that ended with the error. The error is nil if the
// response is complete.
func outcomeOf(ctx context.Context, att *attempt, err error) yuccagrant.Outcome {
	var writeFailed *callerError
	switch {
	case ctx.Err() != nil || errors.As(err, &writeFailed):
		return yuccagrant.Dropped
	case err != nil:
		return yuccagrant.Broken
	case att.answer.Status >= http.StatusInternalServerError:
		return yuccagrant.Failed
	}
	return yuccagrant.Served
}
