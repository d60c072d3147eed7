package yuccalink

import (
	"net"
	"time"
)

// pieceBytes is how much of a message is written under one deadline. A link of 1 Mbit/s takes a piece
// in an eighth of a second, so that only a peer which really takes nothing misses the deadline.
const pieceBytes = 16 << 10

// stream is a connection on which each read, and each piece of a write, has a deadline of its own. The
// deadlines bound silence, not the time that a long message takes.
type stream struct {
	net.Conn
	silence, write time.Duration
}

// Read fails if no byte arrives within the limit.
func (st *stream) Read(into []byte) (int, error) {
	if err := st.SetReadDeadline(time.Now().Add(st.silence)); err != nil {
		return 0, err
	}
	return st.Conn.Read(into)
}

// Write fails if the peer doesn't accept a piece within the limit.
func (st *stream) Write(from []byte) (int, error) {
	written := 0
	for written < len(from) {
		if err := st.SetWriteDeadline(time.Now().Add(st.write)); err != nil {
			return written, err
		}
		piece := from[written:min(written+pieceBytes, len(from))]
		count, err := st.Conn.Write(piece)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
