package yuccalink

import (
	"net"
	"time"
)

// pieceBytes is how much of a message is written under one deadline. A link of 1 Mbit/s takes a piece
// in an eighth of a second, so that only a peer which really takes nothing misses the deadline.
const pieceBytes = 16 << 10

// stream is a connection whose every read and every written piece has a deadline of its own: what is
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

// Write fails when the peer doesn't make room for a piece within the limit.
func (str *stream) Write(from []byte) (int, error) {
	written := 0
	for written < len(from) {
		if err := str.SetWriteDeadline(time.Now().Add(str.write)); err != nil {
			return written, err
		}
		piece := from[written:min(written+pieceBytes, len(from))]
		count, err := str.Conn.Write(piece)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
