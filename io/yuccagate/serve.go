package yuccagate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headAfter bounds the time for a request's head, and largestHead its size, whatever the
	// configuration allows: without them a caller that sends nothing holds a connection.
	headAfter   = 10 * time.Second
	largestHead = 128 << 10
	// lastAnswers is how long the last answers may take to leave.
	lastAnswers = 200 * time.Millisecond
	// idleEvery is how often idle connections are looked at.
	idleEvery = 500 * time.Millisecond
	// defaultIdle is how long a connection may be idle while no configuration says.
	defaultIdle = 30 * time.Second
)

// Server serves callers' requests on one listener.
type Server struct {
	gate     *Gate
	listener *Listener
	http     *http.Server
	failed   chan error
	stop     chan struct{}
	drain    sync.Once
}

// Serve starts serving callers.
func (gate *Gate) Serve(inner net.Listener) *Server {
	srv := &Server{gate: gate, listener: NewListener(inner, gate.bounds.CallerConnections, gate.turnedAway), failed: make(chan error, 1), stop: make(chan struct{})}
	srv.http = &http.Server{
		Handler:           gate,
		ReadHeaderTimeout: headAfter,
		MaxHeaderBytes:    largestHead,
		ConnState:         srv.listener.ConnState,
	}
	go func() {
		if err := srv.http.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
			srv.failed <- err
		}
	}()
	go srv.closeIdle()
	return srv
}

// Failed yields the error of a listener that stopped by itself.
func (srv *Server) Failed() <-chan error { return srv.failed }

// closeIdle closes connections that have been idle for longer than the configuration says.
func (srv *Server) closeIdle() {
	ticker := time.NewTicker(idleEvery)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			limit := defaultIdle
			if table := srv.gate.tables.Load(); table != nil && table.Config().Limits.IdleTimeout > 0 {
				limit = table.Config().Limits.IdleTimeout
			}
			srv.listener.CloseIdle(now.Add(-limit))
		case <-srv.stop:
			return
		}
	}
}

// Drain tells that the daemon is leaving, sends idle callers elsewhere and returns once no
// request is open, or when the context ends, with the number of those that are then cut off.
func (srv *Server) Drain(ctx context.Context) int64 {
	srv.drain.Do(func() { srv.end(ctx) })
	return srv.gate.open.Load()
}

func (srv *Server) end(ctx context.Context) {
	srv.gate.leave()
	srv.listener.CloseIdle(time.Now())
	srv.gate.drain(ctx)
	close(srv.stop)
	_ = srv.listener.Close()
	srv.listener.CloseIdle(time.Now())
	// Who was let in by the last connection is sent away by now, and gets that answer.
	for wait := time.Now(); srv.gate.open.Load() > 0 && time.Since(wait) < lastAnswers && ctx.Err() == nil; {
		time.Sleep(drainPoll)
	}
	_ = srv.http.Close()
}
