package yuccagate

import "net"

// Rejection is why a connection is rejected, as logs and metrics name it.
type Rejection string

const (
	// rejectedConnections means that as many connections are open as may be.
	rejectedConnections Rejection = "connections"
	// rejectedProcessor means that processor time is short.
	rejectedProcessor Rejection = "processor"
	// rejectedMemory means that there is no memory for the connection's first request.
	rejectedMemory Rejection = "memory"
	// rejectedHeads means that there is no memory for the heads of all requests that are being read.
	rejectedHeads Rejection = "heads"
)

// ListenerOption configures a listener.
type ListenerOption func(*Listener)

// AdmitIf has the listener reject new connections unless the function reports true.
func AdmitIf(admits func() bool) ListenerOption {
	return func(lis *Listener) { lis.admits = admits }
}

// ReadIf has the listener reject new connections after they have been accepted unless the function reports true. It is
// called before anything is read, and may wait for the first bytes, which it must leave in the socket.
func ReadIf(reads func(net.Conn) bool) ListenerOption {
	return func(lis *Listener) { lis.reads = reads }
}

// withHeadBounds has the listener bound the heads that are being read.
func withHeadBounds(heads *headBounds) ListenerOption {
	return func(lis *Listener) { lis.heads = heads }
}
