package yuccagate

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerBufferBytes is how much the system holds of what a caller has sent and the daemon hasn't read, about. A caller may
// send on while its request is served, and what the system holds counts as memory of the process.
const callerBufferBytes = 16 << 10

// longBodyBufferBytes is the same while a long body is read, so that a caller far away can send it in time.
const longBodyBufferBytes = 64 << 10

// Listen listens for callers on an address, and bounds what the system holds of what each of them sends.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Where the system refuses, its own size stays.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, callerBufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// setReadBuffer sets how much the system holds of what the caller sends.
func (conn *callerConn) setReadBuffer(size int) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size)
	}
}
