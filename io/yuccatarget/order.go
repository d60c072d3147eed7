package yuccatarget

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"yuccacleat/core/yuccaid"
)

// Cancel ends a run at a target; ErrNoRun says that there was none.
func (cl *Client) Cancel(ctx context.Context, address string, id yuccaid.RequestID) error {
	resp, done, err := cl.once(ctx, http.MethodDelete, address, runPath(id), nil)
	if err != nil {
		return err
	}
	defer done()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNoRun
	}
	return &StatusError{Status: resp.StatusCode}
}

// Order gives a target an order and returns its state after it.
//
// The order's life is counted from the call of Order, and what remains of it is sent.
// Past it nothing is sent and the connection is closed: an order that arrives late would
// undo a newer one at a target that doesn't check fencing numbers.
func (cl *Client) Order(ctx context.Context, address string, order Order) (State, error) {
	deadline := time.Now().Add(order.Expires)
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, &ExpiredError{})
	defer cancel()
	resp, done, err := cl.once(ctx, http.MethodPost, address, OrdersPath, func() ([]byte, error) {
		order.ExpiresMillis = time.Until(deadline).Milliseconds()
		return json.Marshal(order)
	})
	if err != nil {
		return State{}, err
	}
	defer done()
	if resp.StatusCode != http.StatusOK {
		return State{}, orderRefusal(address, resp)
	}
	raw, err := bounded(resp.Body, reportLimit)
	if err != nil {
		return State{}, unknownOrder(address, causeOf(ctx, err))
	}
	var state State
	if err := json.Unmarshal(raw, &state); err != nil {
		return State{}, unknownOrder(address, err)
	}
	return state, nil
}

func orderRefusal(address string, resp *http.Response) error {
	said, err := readRefusal(resp)
	if err != nil || said.Ran != RanNot {
		return unknownOrder(address, &StatusError{Status: resp.StatusCode})
	}
	switch said.Kind {
	case RefusalFenced:
		return &FencedError{Fence: said.Fence}
	case RefusalExpired:
		return &ExpiredError{}
	}
	return unknownOrder(address, &StatusError{Status: resp.StatusCode})
}

// unknownOrder says that an order may have been carried out.
func unknownOrder(address string, cause error) error {
	return &UnknownOrderError{Address: address, Cause: cause}
}

// once makes one exchange on a connection of its own; body is asked for right before
// the first byte leaves.
func (cl *Client) once(ctx context.Context, method, address, path string, body func() ([]byte, error)) (*http.Response, func(), error) {
	end := time.Now().Add(cl.silence)
	w, err := cl.connect(ctx, address, cl.progress, func() time.Time { return end })
	if err != nil {
		return nil, nil, &UnsentError{Address: address, Cause: causeOf(ctx, err)}
	}
	var raw []byte
	if body != nil {
		raw, err = body()
	}
	if err != nil {
		w.close()
		return nil, nil, &UnsentError{Address: address, Cause: err}
	}
	req, err := newRequest(ctx, method, address, path, raw)
	if err != nil {
		w.close()
		return nil, nil, &UnsentError{Address: address, Cause: err}
	}
	if raw != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := w.exchange(req)
	if err == nil {
		return resp, w.close, nil
	}
	w.close()
	err = causeOf(ctx, err)
	if !w.sent {
		return nil, nil, &UnsentError{Address: address, Cause: err}
	}
	return nil, nil, unknownOrder(address, err)
}
