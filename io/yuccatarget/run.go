package yuccatarget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"yuccacleat/core/yuccaid"
)

// errEnded says that a stream ended before the answer did.
var errEnded = errors.New("stream ended before the answer did")

// errSilent says that a run has gone without a piece for too long.
var errSilent = errors.New("target has been silent for too long: check the target")

// Run sends a call to its target once and hands its answer to piece in order, each
// piece once.
//
// A stream that falls silent or breaks is resumed on a new connection by reading, never
// by sending the call again. Errors are *UnsentError, *RefusedError and *LeavingError if
// the call did not run; *LostError, *BrokenError and *CancelledError if it may have.
func (cl *Client) Run(ctx context.Context, call Call, piece func(Piece) error) (End, error) {
	rx := newReceiver(call, piece, cl.silence)
	end, err := cl.dispatch(ctx, rx)
	if err == nil || final(err) {
		return end, err
	}
	if call.Plain {
		return End{}, rx.lost(err)
	}
	return cl.resumeUntilEnd(ctx, rx, err)
}

// final reports whether an error says all there is to say of a run.
func final(err error) bool {
	switch err.(type) {
	case *UnsentError, *RefusedError, *LeavingError, *LostError, *BrokenError, *CancelledError:
		return true
	}
	return false
}

// dispatch is the only place where a call is sent.
func (cl *Client) dispatch(ctx context.Context, rx *receiver) (End, error) {
	call := rx.call
	req, err := dispatchRequest(ctx, call)
	if err != nil {
		return End{}, &UnsentError{Address: call.Address, Cause: err}
	}
	limit := cl.progress
	if call.Plain {
		limit = rx.silence
	}
	w, err := cl.connect(ctx, call.Address, limit, rx.latest)
	if err != nil {
		return End{}, &UnsentError{Address: call.Address, Cause: err}
	}
	defer w.close()
	if err := call.ready(); err != nil {
		return End{}, &UnsentError{Address: call.Address, Cause: err}
	}
	resp, err := w.exchange(req)
	if err != nil && !w.sent {
		return End{}, &UnsentError{Address: call.Address, Cause: err}
	}
	if err != nil {
		return End{}, causeOf(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return End{}, rx.refusal(resp)
	}
	return cl.receive(ctx, rx, resp)
}

func dispatchRequest(ctx context.Context, call Call) (*http.Request, error) {
	path := GeneratePath
	if call.Plain {
		path = CallPath + "/" + url.PathEscape(string(call.Operation))
	}
	req, err := newRequest(ctx, http.MethodPost, call.Address, path, call.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, string(call.ID))
	req.Header.Set(HeaderFence, strconv.FormatUint(uint64(call.Fence), 10))
	return req, nil
}

// receive reads the answer on one connection; its error is final, or the cause for which
// the stream has to be resumed.
func (cl *Client) receive(ctx context.Context, rx *receiver, resp *http.Response) (End, error) {
	end, err := rx.read(resp.Body)
	var stopped *stoppedError
	switch {
	case errors.As(err, &stopped):
		return End{}, rx.lost(stopped.cause)
	case errors.Is(err, io.EOF):
		return End{}, errEnded
	case err != nil && !final(err):
		return End{}, causeOf(ctx, err)
	}
	return end, err
}

// causeOf prefers the end of the context to the closed connection that it led to.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// refusal reads an answer that is none. Only the target's own words, in full, prove that
// nothing ran: a bare status can come from something between, which gave up waiting
// while the target works on.
func (rx *receiver) refusal(resp *http.Response) error {
	unproven := &StatusError{Status: resp.StatusCode}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return unproven
	}
	said, err := readRefusal(resp)
	if err != nil || said.Ran != RanNot || said.ID != "" && said.ID != string(rx.call.ID) {
		return unproven
	}
	switch said.Kind {
	case RefusalLeaving:
		return &LeavingError{Target: rx.call.Target}
	case RefusalRefused:
		return &RefusedError{Target: rx.call.Target, Back: time.Duration(said.BackMillis) * time.Millisecond}
	}
	return unproven
}

func readRefusal(resp *http.Response) (Refusal, error) {
	var said Refusal
	raw, err := bounded(resp.Body, refusalLimit)
	if err != nil {
		return said, err
	}
	return said, json.Unmarshal(raw, &said)
}

// resumeUntilEnd reads on, on new connections, for as long as the run moves or its
// target shows that it still has it.
func (cl *Client) resumeUntilEnd(ctx context.Context, rx *receiver, cause error) (End, error) {
	failed := 0
	patience := cl.progress
	for ctx.Err() == nil {
		if time.Since(rx.moved) > rx.silence {
			return End{}, rx.lost(fmt.Errorf("%w (%w)", errSilent, cause))
		}
		before := rx.next
		end, held, err := cl.resume(ctx, rx, patience)
		if err == nil || final(err) {
			return end, err
		}
		cause = err
		switch {
		case rx.next > before:
			failed = 0
			patience = cl.progress
		case held && timedOut(err):
			// The target holds the run and has nothing new: it waits or prefills. Looking
			// less and less often spares it connections.
			failed = 0
			patience = min(2*patience, rx.silence)
		default:
			failed++
			if failed >= cl.attempts {
				return End{}, rx.lost(cause)
			}
			pause(ctx, backoff(failed))
		}
	}
	return End{}, rx.lost(causeOf(ctx, cause))
}

// resume reads the answer from the first missing piece on a new connection. It reports
// whether the target showed that it has the run. What the target says otherwise proves
// nothing: the call itself may still be on its way to it.
func (cl *Client) resume(ctx context.Context, rx *receiver, limit time.Duration) (end End, held bool, err error) {
	path := runPath(rx.call.ID) + "?from=" + strconv.Itoa(rx.next)
	req, err := newRequest(ctx, http.MethodGet, rx.call.Address, path, nil)
	if err != nil {
		return End{}, false, err
	}
	w, err := cl.connect(ctx, rx.call.Address, limit, rx.latest)
	if err != nil {
		return End{}, false, err
	}
	defer w.close()
	resp, err := w.exchange(req)
	if err != nil {
		return End{}, false, causeOf(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return End{}, false, &StatusError{Status: resp.StatusCode}
	}
	end, err = cl.receive(ctx, rx, resp)
	return end, true, err
}

func runPath(id yuccaid.RequestID) string {
	return GeneratePath + "/" + url.PathEscape(string(id))
}

func timedOut(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// backoff doubles with each failure, and is jittered so that the streams of a target
// that stumbled don't all come back at once.
func backoff(failed int) time.Duration {
	longest := min(firstBackoff<<min(failed, maxDoublings), longestBackoff)
	return longest/2 + rand.N(longest/2)
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
