package yuccastand

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// reopenPause is how long to wait between attempts to get a closed port back.
const reopenPause = 10 * time.Millisecond

type connKey struct{}

// host serves one stand-in on one address that can be closed and opened again.
type host struct {
	router  *echo.Echo
	server  *http.Server
	address string
	done    chan struct{}
	serving sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

func newHost(listener net.Listener) *host {
	h := &host{
		router:   echo.New(),
		address:  listener.Addr().String(),
		done:     make(chan struct{}),
		listener: listener,
		conns:    make(map[net.Conn]struct{}),
	}
	h.router.HideBanner = true
	h.server = &http.Server{
		Handler:   h.router,
		ConnState: h.track,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return h
}

// start serves once the routes are set, unless the port was shut before.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.serve(h.listener)
	}
}

// serve answers on a listener until it is closed; the caller holds the mutex.
func (h *host) serve(listener net.Listener) {
	h.serving.Go(func() { _ = h.server.Serve(listener) })
}

// Address returns the "ip:port" that the stand-in listens on.
func (h *host) Address() string {
	return h.address
}

// ServeHTTP answers one request without a socket.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// Close ends the stand-in and all of its connections.
func (h *host) Close() error {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil
	}
	h.closed = true
	close(h.done)
	h.mu.Unlock()
	err := h.server.Close()
	h.serving.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "close stand-in")
	}
	return nil
}

func (h *host) track(conn net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case http.StateNew:
		h.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, conn)
	}
}

// shut makes the port refuse connections and ends the open ones but for spare, on
// which the switch itself is being answered.
func (h *host) shut(spare net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener == nil {
		return
	}
	_ = h.listener.Close()
	h.listener = nil
	for conn := range h.conns {
		if conn != spare {
			_ = conn.Close()
		}
	}
}

// reopen takes the port back.
func (h *host) reopen() {
	for !h.tryReopen() {
		time.Sleep(reopenPause)
	}
}

// tryReopen reports whether there is nothing more to do.
func (h *host) tryReopen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil || h.closed {
		return true
	}
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return false
	}
	h.listener = listener
	h.serve(listener)
	return true
}

// hangUp ends the request's connection without an answer.
func hangUp(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return eris.Wrap(err, "hijack")
	}
	_ = conn.Close()
	return nil
}

// silence keeps the connection open and writes nothing more.
func (h *host) silence(c echo.Context) error {
	select {
	case <-c.Request().Context().Done():
	case <-h.done:
	}
	return nil
}
