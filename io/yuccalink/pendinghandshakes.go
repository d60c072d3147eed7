package yuccalink

import (
	"net"
	"slices"
	"sync"
)

// pendingHandshakes holds the accepted connections that are still in their handshake, up to a limit.
//
// A client without the key can open connections and send nothing. If new connections were rejected at
// the limit, a few such clients would lock out every daemon, and no restarted peer could reach this
// daemon. So the oldest connection is closed instead. A handshake of a daemon takes a few milliseconds
// and is hardly ever the oldest.
type pendingHandshakes struct {
	limit int
	mu    sync.Mutex
	open  []net.Conn
}

// add adds a connection, and closes the oldest one if the limit is reached.
func (pending *pendingHandshakes) add(conn net.Conn) {
	pending.mu.Lock()
	defer pending.mu.Unlock()
	if len(pending.open) >= pending.limit {
		pending.open[0].Close()
		pending.open = slices.Delete(pending.open, 0, 1)
	}
	pending.open = append(pending.open, conn)
}

// remove removes a connection whose handshake has ended.
func (pending *pendingHandshakes) remove(conn net.Conn) {
	pending.mu.Lock()
	defer pending.mu.Unlock()
	if i := slices.Index(pending.open, conn); i >= 0 {
		pending.open = slices.Delete(pending.open, i, i+1)
	}
}

// size returns the number of connections.
func (pending *pendingHandshakes) size() int {
	pending.mu.Lock()
	defer pending.mu.Unlock()
	return len(pending.open)
}

// closeAll closes all connections.
func (pending *pendingHandshakes) closeAll() {
	pending.mu.Lock()
	defer pending.mu.Unlock()
	for _, conn := range pending.open {
		conn.Close()
	}
}
