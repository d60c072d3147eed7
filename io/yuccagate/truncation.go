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

// resettable returns the caller's connection if the caller's version of HTTP has no chunks, else nil. A
// response without a length to such a caller ends with its connection.
func resettable(r *http.Request) *callerConn {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	return conn
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
