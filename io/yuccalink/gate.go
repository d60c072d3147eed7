package yuccalink

import (
	"net"
	"slices"
	"sync"
)

// gate bounds the accepted connections that are still in their handshake.
//
// Somebody without the key can open connections and say nothing. If new ones were
// turned away at the limit, a few silent strangers would keep every daemon out, which
// shows as a daemon that no restarted peer can reach. So the oldest goes instead: an
// honest handshake takes a few milliseconds and is hardly ever the oldest.
type gate struct {
	limit int
	mu    sync.Mutex
	open  []net.Conn
}

// enter lets a connection in, at the cost of the oldest if the gate is full.
func (gt *gate) enter(conn net.Conn) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if len(gt.open) >= gt.limit {
		gt.open[0].Close()
		gt.open = slices.Delete(gt.open, 0, 1)
	}
	gt.open = append(gt.open, conn)
}

// leave notes that a connection's handshake is over.
func (gt *gate) leave(conn net.Conn) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if i := slices.Index(gt.open, conn); i >= 0 {
		gt.open = slices.Delete(gt.open, i, i+1)
	}
}

// size returns how many handshakes are under way.
func (gt *gate) size() int {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return len(gt.open)
}

// closeAll ends every handshake.
func (gt *gate) closeAll() {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	for _, conn := range gt.open {
		conn.Close()
	}
}
