package yuccaserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccaconf"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccaweb"
)

const (
	// headerTimeout keeps a caller that sends nothing from holding a connection, and idleTimeout one that sends nothing more.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// headerBytes bounds a request's head; those of this interface have some hundred bytes.
	headerBytes = 16 << 10
)

// Addresses are where a started daemon listens.
type Addresses struct {
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

// Process is one running daemon with its listeners.
type Process struct {
	Addresses Addresses
	Daemon    *yuccadaemon.Daemon

	caller   *http.Server
	operator *http.Server
	failed   chan error
	drain    time.Duration
}

// Start opens every listener before anything runs, so that a port in use leaves no
// daemon half started.
func Start(settings *yuccaconf.Settings, key yuccaid.Key, logger log.Logger) (*Process, error) {
	listeners, err := listen(settings)
	if err != nil {
		return nil, err
	}
	daemon, err := yuccadaemon.New(settings, key, listeners.peer, yuccadaemon.WithLog(logger))
	if err != nil {
		listeners.close()
		return nil, err
	}
	proc := &Process{
		Addresses: listeners.addresses(),
		Daemon:    daemon,
		caller:    newServer(yuccaweb.NewCaller(daemon).Handler()),
		operator:  newServer(yuccaweb.NewOperator(daemon).Handler()),
		failed:    make(chan error, 2),
		drain:     settings.LongestDrain,
	}
	go func() { proc.failed <- proc.caller.Serve(listeners.caller) }()
	go func() { proc.failed <- proc.operator.Serve(listeners.operator) }()
	return proc, nil
}

// Failed yields the error of a listener that stopped by itself.
func (proc *Process) Failed() <-chan error {
	return proc.failed
}

// Stop drains until the context or the longest drain ends, then closes everything.
func (proc *Process) Stop(ctx context.Context) yuccadaemon.Drained {
	draining, done := context.WithTimeout(ctx, proc.drain)
	defer done()
	drained := proc.Daemon.Drain(draining)
	// Answers are finished by now; Shutdown lets their last bytes leave.
	if err := proc.caller.Shutdown(draining); err != nil {
		_ = proc.caller.Close()
	}
	proc.Daemon.Close()
	_ = proc.operator.Close()
	return drained
}

// Kill closes everything at once, as a crash would.
func (proc *Process) Kill() {
	_ = proc.caller.Close()
	_ = proc.operator.Close()
	proc.Daemon.Close()
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		// The general handler of such requests waits for their bodies without a limit on time.
		DisableGeneralOptionsHandler: true,
	}
}

// listeners are the three addresses of a daemon.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

func listen(settings *yuccaconf.Settings) (listeners, error) {
	var opened listeners
	for _, each := range []struct {
		key     string
		address string
		into    *net.Listener
	}{
		{"listen.caller", settings.Listen.Caller, &opened.caller},
		{"listen.peer", settings.Listen.Peer, &opened.peer},
		{"listen.operator", settings.Listen.Operator, &opened.operator},
	} {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			opened.close()
			return listeners{}, &ListenError{Key: each.key, Address: each.address, Cause: err}
		}
		*each.into = listener
	}
	// More callers than this would take the memory of those already served.
	opened.caller = netutil.LimitListener(opened.caller, settings.Limits.Callers)
	return opened, nil
}

func (opened listeners) addresses() Addresses {
	return Addresses{
		Caller:   opened.caller.Addr().String(),
		Peer:     opened.peer.Addr().String(),
		Operator: opened.operator.Addr().String(),
	}
}

func (opened listeners) close() {
	for _, listener := range []net.Listener{opened.caller, opened.peer, opened.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// ListenError says that an address of the settings can't be opened.
type ListenError struct {
	Key     string
	Address string
	Cause   error
}

// Error names the key and the remedy.
func (err *ListenError) Error() string {
	return err.Key + ": " + err.Address + " can't be opened: " + err.Cause.Error() + ": end the process that holds it or name another address"
}

// Unwrap returns the network's own error.
func (err *ListenError) Unwrap() error {
	return err.Cause
}

// Wait returns when a signal comes or a listener fails.
func (proc *Process) Wait(signal <-chan struct{}) error {
	select {
	case <-signal:
		return nil
	case err := <-proc.failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "a listener stopped")
	}
}
