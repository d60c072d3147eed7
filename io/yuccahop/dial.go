package yuccahop

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime"
	"time"
)

// dialChecks is how often a dial that goes on is looked at before it is given up.
const dialChecks = 8

// dialed is the result of a dial.
type dialed struct {
	raw net.Conn
	err error
}

// dialWithin opens a connection, and gives up after the limit. A process that is short of processor time is late to see that a
// connection stands; the time by which it is late doesn't count.
func dialWithin(parent context.Context, limit time.Duration, dialer *net.Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	results := make(chan dialed, 1)
	go func() {
		raw, err := dialer.DialContext(ctx, "tcp", address)
		results <- dialed{raw, err}
	}()
	ticker := time.NewTicker(limit / dialChecks)
	defer ticker.Stop()
	for range dialChecks {
		select {
		case got := <-results:
			return got.raw, got.err
		case <-ticker.C:
		}
		// All other goroutines that can run do so before the next check.
		runtime.Gosched()
	}
	cancel()
	got := <-results
	if errors.Is(got.err, context.Canceled) && parent.Err() == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	return got.raw, got.err
}
