package main_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// gate stands between one daemon and the platform, so that a test can cut just this
// daemon off.
type gate struct {
	server   *httptest.Server
	platform string
	// calls are the gate's own: a call that is ended may take one down that uses its
	// connection next.
	calls *http.Transport

	mu   sync.Mutex
	open context.Context
	shut context.CancelFunc
	// under are the calls that came through since the gate was opened.
	under *sync.WaitGroup
}

func newGate(platform string) *gate {
	way := &gate{platform: platform, calls: &http.Transport{DisableKeepAlives: true}}
	way.let()
	way.server = httptest.NewServer(way)
	return way
}

func (way *gate) address() string {
	return strings.TrimPrefix(way.server.URL, "http://")
}

// let opens the gate.
func (way *gate) let() {
	way.mu.Lock()
	defer way.mu.Unlock()
	way.open, way.shut = context.WithCancel(context.Background())
	way.under = &sync.WaitGroup{}
}

// cut shuts the gate and returns when no call that waited can bring an answer any
// more: what is published next is published behind a shut gate.
func (way *gate) cut() {
	way.mu.Lock()
	way.shut()
	under := way.under
	way.mu.Unlock()
	under.Wait()
}

func (way *gate) close() {
	way.cut()
	way.server.Close()
}

// enter counts a call in, unless the gate is shut.
func (way *gate) enter() (open context.Context, done func(), entered bool) {
	way.mu.Lock()
	defer way.mu.Unlock()
	if way.open.Err() != nil {
		return nil, nil, false
	}
	way.under.Add(1)
	return way.open, way.under.Done, true
}

// ServeHTTP passes a call on while the gate is open and hangs up otherwise.
func (way *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	open, done, entered := way.enter()
	if !entered {
		// What follows the gate's context follows it a moment late, in which a call would
		// pass.
		panic(http.ErrAbortHandler)
	}
	defer done()
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	defer context.AfterFunc(open, stop)()
	call := r.Clone(ctx)
	call.URL.Scheme, call.URL.Host = "http", way.platform
	reply, err := way.calls.RoundTrip(call)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer reply.Body.Close()
	for key, values := range reply.Header {
		w.Header()[key] = values
	}
	w.WriteHeader(reply.StatusCode)
	if _, err := io.Copy(w, reply.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
