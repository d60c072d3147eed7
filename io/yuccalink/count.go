package yuccalink

import (
	"sync/atomic"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

// Count is what went over a hub's connections in messages of one kind, since its start.
type Count struct {
	Kind                           yuccawire.Kind
	MessagesSent, MessagesReceived uint64
	BytesSent, BytesReceived       yuccaid.Bytes
}

const (
	kinds       = 256
	headerBytes = 4
	kindBytes   = 2
)

type tally struct {
	messages, bytes atomic.Uint64
}

func (sum *tally) add(bytes int) {
	sum.messages.Add(1)
	sum.bytes.Add(uint64(bytes))
}

// counters are indexed by kind.
type counters struct {
	sent, received [kinds]tally
}

// counts returns the kinds that occurred, in their order.
func (all *counters) counts() []Count {
	var found []Count
	for kind := range kinds {
		sent, received := &all.sent[kind], &all.received[kind]
		count := Count{
			Kind:             yuccawire.Kind(kind),
			MessagesSent:     sent.messages.Load(),
			MessagesReceived: received.messages.Load(),
			BytesSent:        yuccaid.Bytes(sent.bytes.Load()),
			BytesReceived:    yuccaid.Bytes(received.bytes.Load()),
		}
		if count.MessagesSent+count.MessagesReceived > 0 {
			found = append(found, count)
		}
	}
	return found
}

// took notes a received frame at its length on the wire.
func (all *counters) took(frame yuccawire.Frame) {
	all.received[frame.Kind].add(headerBytes + kindBytes + len(frame.Body))
}
