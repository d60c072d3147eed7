package yuccagate

import (
	"context"
	"net"
	"net/http"
)

// systemLinger has the system close a connection in its usual way, after what was written is sent.
const systemLinger = -1

// connKey is the key of a context's value that holds the connection of a caller.
type connKey struct{}

// withConn returns the context of the requests on a caller's connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the caller's connection that a request came on, nil if it didn't come through a Listener.
func connOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	return conn
}

// beginOnConn records on the caller's connection that its request is served from now on. A response without a length to a
// caller whose version of HTTP has no chunks ends with its connection.
func (req *callerRequest) beginOnConn(r *http.Request) {
	if req.conn == nil {
		return
	}
	req.headMemory = req.conn.beginRequest()
	if !r.ProtoAtLeast(1, 1) {
		req.unframed = req.conn
	}
}

// setTruncated sets whether the response to a caller without chunks is still incomplete. If it is, the
// connection ends with a reset when it is closed, whether by this daemon or because its process ends.
// Otherwise the caller would take what it has received for the complete response.
func (req *callerRequest) setTruncated(truncated bool) {
	if req.unframed == nil {
		return
	}
	if truncated {
		req.unframed.setLinger(0)
	} else {
		req.unframed.setLinger(systemLinger)
	}
}

func (conn *callerConn) setLinger(seconds int) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds)
	}
}
