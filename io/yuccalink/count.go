package yuccalink

import (
	"sync/atomic"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

// Count is the number and size of messages of one kind that a hub has sent and received since its
// start.
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

// counters holds a tally for each kind of message, indexed by the kind.
type counters struct {
	sent, received [kinds]tally
}

// counts returns the counts of all kinds that have occurred, in the order of the kinds.
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

// countReceived counts a received frame with its length on the wire.
func (all *counters) countReceived(frame yuccawire.Frame) {
	all.received[frame.Kind].add(headerBytes + kindBytes + len(frame.Body))
}
