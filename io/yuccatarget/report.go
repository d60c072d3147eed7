package yuccatarget

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"yuccacleat/io/yuccahead"
)

// newReports returns a client for reports. It keeps one connection to each target; a
// kept connection that has gone silent runs into the timeout, is closed by it, and the
// next report dials anew.
func newReports(dial func(ctx context.Context, network, address string) (net.Conn, error), limit time.Duration) *http.Client {
	return &http.Client{
		Timeout: limit,
		Transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: headLimit,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Load reads a target's load report.
func (cl *Client) Load(ctx context.Context, address string) (Load, error) {
	return report[Load](ctx, cl, address, LoadPath)
}

// State reads what a target has loaded.
func (cl *Client) State(ctx context.Context, address string) (State, error) {
	return report[State](ctx, cl, address, StatePath)
}

// CacheEvents reads the cache events after a sequence number.
func (cl *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	path := CachePath + "?after=" + strconv.FormatUint(after, 10)
	batch, err := report[CacheEvents](ctx, cl, address, path)
	if err != nil {
		return CacheEvents{}, err
	}
	for _, event := range batch.Events {
		if event.Sequence <= after {
			return CacheEvents{}, eris.Errorf("cache event %d of %s comes after %d: start again from 0", event.Sequence, address, after)
		}
		batch.Gap = batch.Gap || event.Sequence != after+1
		after = event.Sequence
	}
	return batch, nil
}

// report reads one bounded JSON object.
func report[T any](ctx context.Context, cl *Client, address, path string) (T, error) {
	var said T
	req, err := newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return said, err
	}
	resp, err := cl.reports.Do(req)
	if err != nil {
		return said, eris.Wrapf(err, "report of %s did not come: keep the last one and ask again", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := yuccahead.Check(resp); err != nil {
		return said, eris.Wrapf(err, "report of %s can't be read: keep the last one and ask again", address)
	}
	if resp.StatusCode != http.StatusOK {
		return said, &StatusError{Status: resp.StatusCode}
	}
	raw, err := bounded(resp.Body, reportLimit)
	if err != nil {
		return said, eris.Wrapf(err, "report of %s broke off: keep the last one and ask again", address)
	}
	if err := json.Unmarshal(raw, &said); err != nil {
		return said, eris.Wrapf(err, "report of %s is no JSON: check the target", address)
	}
	return said, nil
}
