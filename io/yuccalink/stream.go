package yuccalink

import (
	"net"
	"time"
)

// stream is a connection whose every read and write has a deadline of its own: what is
// limited is silence, not the time that a long message takes.
type stream struct {
	net.Conn
	silence, write time.Duration
}

// Read fails when no byte comes within the limit.
func (str *stream) Read(into []byte) (int, error) {
	if err := str.SetReadDeadline(time.Now().Add(str.silence)); err != nil {
		return 0, err
	}
	return str.Conn.Read(into)
}

// Write fails when the peer doesn't make room within the limit.
func (str *stream) Write(from []byte) (int, error) {
	if err := str.SetWriteDeadline(time.Now().Add(str.write)); err != nil {
		return 0, err
	}
	return str.Conn.Write(from)
}
