package yuccagate

import (
	"context"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHeadBytes bounds the size of a request's head even if the configuration allows more.
	maxHeadBytes = 1 << 20
	// lastResponseWait bounds the wait at the end of the drain for requests that have arrived but
	// are not served yet, and for the responses to refused requests. It also is the least time for
	// these if the process stood still until the drain's end.
	lastResponseWait = 200 * time.Millisecond
	// idleCheckInterval is the time between two checks for idle connections.
	idleCheckInterval = 500 * time.Millisecond
	// defaultIdleTimeout bounds how long a connection may be idle if the configuration sets no
	// limit.
	defaultIdleTimeout = 30 * time.Second
)

// Server serves callers' requests on one listener.
type Server struct {
	gate     *Gate
	listener *Listener
	http     *http.Server
	// errs receives the error if the server stops although it was not closed. stop is closed when
	// the server is closed.
	errs      chan error
	stop      chan struct{}
	drainOnce sync.Once
}

// Serve starts serving callers on the listener.
func (gate *Gate) Serve(inner net.Listener) *Server {
	admits := func() bool { return !gate.pressure.turnsAway(mathrand.Float64()) }
	srv := &Server{
		gate: gate,
		listener: NewListener(inner, gate.processBounds.CallerConnections, gate.connRejected,
			AdmitIf(admits), ReadIf(gate.hasRoomFor), withHeadBounds(gate.heads)),
		errs: make(chan error, 1),
		stop: make(chan struct{}),
	}
	srv.http = &http.Server{
		Handler: gate,
		// A connection puts the limit of the configuration in its place.
		ReadHeaderTimeout: headTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnState:         srv.listener.ConnState,
		ConnContext:       withConn,
		// The general handler of such requests waits for their bodies without a limit on time.
		DisableGeneralOptionsHandler: true,
	}
	go func() {
		if err := srv.http.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
			srv.errs <- err
		}
	}()
	go srv.closeIdle()
	return srv
}

// Failed returns a channel that receives the error if the server stops although it was not
// closed.
func (srv *Server) Failed() <-chan error { return srv.errs }

// closeIdle closes connections that have been idle for longer than the configuration allows.
func (srv *Server) closeIdle() {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	var limit idleLimit
	for {
		select {
		case now := <-ticker.C:
			srv.listener.CloseIdle(now.Add(-limit.update(now, srv.gate.configuredIdleTimeout())))
		case <-srv.stop:
			return
		}
	}
}

// configuredIdleTimeout returns how long connections may be idle by the configuration in force.
func (gate *Gate) configuredIdleTimeout() time.Duration {
	table := gate.tables.Load()
	if table == nil || table.Config().Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return table.Config().Limits.IdleTimeout
}

// Drain makes the daemon report that it isn't ready, closes idle connections, waits until no
// request is open or the context ends, and closes the server. Requests whose response hasn't begun
// shortly before the context's deadline are refused. It returns the number of requests that are still
// open and are cut off. If the context is cancelled, these are all open requests.
func (srv *Server) Drain(ctx context.Context) int64 {
	srv.drainOnce.Do(func() { srv.shutDown(ctx) })
	return srv.gate.openRequests.Load()
}

// shutDown drains and closes the server.
//
// Connections that the kernel has accepted and this process hasn't are reset when the listener is closed.
// Nothing was read from them, so their callers' requests did not run.
func (srv *Server) shutDown(ctx context.Context) {
	srv.gate.startDraining()
	srv.listener.CloseIdle(time.Now())
	srv.gate.awaitDrained(ctx)
	close(srv.stop)
	_ = srv.listener.Close()
	srv.listener.CloseUnused()
	if !errors.Is(ctx.Err(), context.Canceled) {
		srv.gate.leave()
		srv.awaitLastResponses(ctx)
	}
	_ = srv.http.Close()
}

// awaitLastResponses waits for the requests that arrived just before the listener was closed: until
// those that are served have ended, and up to lastResponseWait until those that are refused have got
// their responses. It returns earlier if the context is cancelled, and if its deadline has passed and
// lastResponseWait too.
//
// A request whose bytes have arrived doesn't count as open until its handler runs. If the server
// were closed in between, the handler could still send the request to a target, and its caller would
// get no response.
func (srv *Server) awaitLastResponses(ctx context.Context) {
	start := time.Now()
	for ctx.Err() == nil || time.Since(start) < lastResponseWait {
		if errors.Is(ctx.Err(), context.Canceled) {
			return
		}
		responsesDue := srv.listener.CountBusy() > 0 && time.Since(start) < lastResponseWait
		if srv.gate.openRequests.Load() == 0 && !responsesDue {
			return
		}
		time.Sleep(drainPollInterval)
	}
}
