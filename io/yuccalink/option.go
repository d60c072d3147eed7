package yuccalink

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

// Option changes how a Hub behaves. Its functions are called by the hub's goroutines;
// they may call Send and Connect but must not wait for other peers, nor call Close.
type Option func(*Hub)

// OnFrame sets who takes control frames. It is called in order for each peer, for
// several peers at once, always after the peer's OnUp and before its OnDown.
func OnFrame(take func(from yuccaid.Incarnation, frame yuccawire.Frame)) Option {
	return func(hub *Hub) { hub.onFrame = take }
}

// OnUp sets who hears that a first connection to a daemon is up.
func OnUp(take func(yuccapeer.Member)) Option {
	return func(hub *Hub) { hub.onUp = take }
}

// OnDown sets who hears that the last connection to a daemon is gone.
func OnDown(take func(yuccapeer.Member)) Option {
	return func(hub *Hub) { hub.onDown = take }
}

// OnTraffic sets who takes accepted traffic connections, each on a goroutine of its
// own. It closes the connection when it is done.
func OnTraffic(take func(*Conn)) Option {
	return func(hub *Hub) { hub.onTraffic = take }
}

// OnFault sets who hears why a connection failed, for logs and metrics.
func OnFault(take func(address string, err error)) Option {
	return func(hub *Hub) { hub.onFault = take }
}

// WithLimits sets the limits on time and memory.
func WithLimits(limits Limits) Option {
	return func(hub *Hub) { hub.limits = limits }
}
