package yuccagate

import (
	"context"
	"io"
	"net/http"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/io/yuccahop"
)

// copyBufferBytes is the size of the buffer through which a response is copied, and the length up to
// which a response that isn't a stream is read to its end before it is sent to the caller.
const copyBufferBytes = 16 << 10

// maxBodyBytes bounds the length of a response that isn't a stream of events. Without a bound, a target
// that never ends its response would occupy the daemon until the request's deadline.
const maxBodyBytes = 64 << 20

// holdBody reads the beginning of a response that isn't a stream of events before any of it is sent to
// the caller; that is all of a short one. If the target breaks the response off meanwhile, holdBody
// returns the error, and the request can be sent to another target or be answered with a problem.
func (att *attempt) holdBody() error {
	if err := att.req.tooLong(att.answer); err != nil {
		return err
	}
	for int64(len(att.held)) < att.holdBytes {
		size := min(int64(copyBufferBytes), att.holdBytes-int64(len(att.held)))
		if length := att.answer.Length; length >= 0 {
			// With one byte more than the body has, the read goes on to the body's end.
			size = min(size, length+1-int64(len(att.held)))
		}
		part := make([]byte, size)
		n, err := io.ReadFull(att.answer, part)
		att.held = append(att.held, part[:n]...)
		if att.answer.Whole() {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// relayBody relays a response that is not a stream of events, after holdBody has read its beginning.
func (req *callerRequest) relayBody(ctx context.Context, att *attempt) error {
	err := req.copyBody(att)
	req.finishAttempt(ctx, att, yuccagrant.Finished{TimeToFirst: att.timeToFirst}, err)
	return err
}

// tooLong returns an *overlongError if the stated length of a response that isn't a stream is beyond
// maxBodyBytes, else nil. The response to a HEAD request states a length and has no body.
func (req *callerRequest) tooLong(answer *yuccahop.Answer) error {
	if answer.Length <= maxBodyBytes || req.outgoing.Method == http.MethodHead {
		return nil
	}
	return errLongBody
}

// errLongBody is the error of a response that isn't a stream and is longer than maxBodyBytes.
var errLongBody = &overlongError{part: "a response", limit: maxBodyBytes}

// copyBody sends a response to the caller, up to maxBodyBytes of it. What is sent of a longer one is
// truncated, which the caller sees by the way in which its connection ends.
func (req *callerRequest) copyBody(att *attempt) error {
	req.writeHead(att)
	if _, err := req.w.Write(att.held); err != nil {
		return &callerError{cause: err}
	}
	if att.answer.Whole() {
		return nil
	}
	buf, copied := make([]byte, copyBufferBytes), len(att.held)
	for {
		n, err := att.answer.Read(buf)
		copied += n
		if copied > maxBodyBytes {
			return errLongBody
		}
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
