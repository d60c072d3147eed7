package yuccalink

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

// Option configures a Hub. The functions that an option sets are called on the hub's goroutines. They
// may call Send and Connect, but must not wait for other peers or call Close.
type Option func(*Hub)

// OnFrame sets the handler of control frames. The handler is called for one frame of a peer at a time,
// in the order in which a connection brought them, and for several peers concurrently. All calls for a
// peer come between its OnUp and its OnDown. While two daemons change to another connection, a frame
// of the new connection may overtake one of the old.
func OnFrame(take func(from yuccaid.Incarnation, frame yuccawire.Frame)) Option {
	return func(hub *Hub) { hub.onFrame = take }
}

// OnUp sets the function that is called when the first connection to a daemon is up.
func OnUp(take func(yuccapeer.Member)) Option {
	return func(hub *Hub) { hub.onUp = take }
}

// OnDown sets the function that is called when the last connection to a daemon is closed.
func OnDown(take func(yuccapeer.Member)) Option {
	return func(hub *Hub) { hub.onDown = take }
}

// OnTraffic sets the handler of accepted traffic connections, which is called on a separate goroutine
// for each. The handler has to close the connection.
func OnTraffic(take func(*Conn)) Option {
	return func(hub *Hub) { hub.onTraffic = take }
}

// OnFault sets the function that is called with the cause of each failed connection, for logs and
// metrics.
func OnFault(take func(address string, err error)) Option {
	return func(hub *Hub) { hub.onFault = take }
}

// WithLimits sets the limits on time and memory, instead of DefaultLimits.
func WithLimits(limits Limits) Option {
	return func(hub *Hub) { hub.limits = limits }
}
