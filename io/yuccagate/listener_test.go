package yuccagate

import (
	"net"
	"testing"
	"time"
)

// closable is a connection that records whether it was closed.
type closable struct {
	net.Conn
	closed bool
}

func (cn *closable) Close() error {
	cn.closed = true
	return nil
}

// Callers keep connections open that they don't use. When a new one exceeds the bound, the one
// that has been idle for longest is closed, because the caller that was served last is the
// likeliest to send again, and a request that is sent just as its connection is closed is lost.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// idle is how long each connection has been idle, zero for one that is in use.
		idle   []time.Duration
		closed int
	}{
		{"the longest", []time.Duration{time.Second, 3 * time.Second, 2 * time.Second}, 1},
		{"none in use", []time.Duration{0, time.Second, 0}, 1},
		{"none at all", []time.Duration{0, 0}, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			lis := NewListener(nil, len(test.idle), func(time.Time) {})
			conns := make([]*closable, len(test.idle))
			for at, idle := range test.idle {
				conns[at] = &closable{}
				conn := lis.track(conns[at]).(*callerConn)
				if idle > 0 {
					conn.idleSince = now.Add(-idle)
				}
			}
			lis.closeLongestIdle()
			for at, conn := range conns {
				if conn.closed != (at == test.closed) {
					t.Errorf("connection %d: closed %t", at, conn.closed)
				}
			}
		})
	}
}
