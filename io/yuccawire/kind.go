package yuccawire

import "strconv"

// Kind says what a frame's body is.
type Kind uint8

// The kinds of messages; their numbers are the protocol and never change meaning.
const (
	KindHello     Kind = 1
	KindProof     Kind = 2
	KindHeartbeat Kind = 3
	KindPulse     Kind = 4
	KindKeepAlive Kind = 5
	KindBye       Kind = 6
	KindRoster    Kind = 7
)

var kindNames = map[Kind]string{
	KindHello:     "hello",
	KindProof:     "proof",
	KindHeartbeat: "heartbeat",
	KindPulse:     "pulse",
	KindKeepAlive: "keepAlive",
	KindBye:       "bye",
	KindRoster:    "roster",
}

// String returns the kind's name in logs and metrics, or its number.
func (kind Kind) String() string {
	if name, ok := kindNames[kind]; ok {
		return name
	}
	return "kind" + strconv.Itoa(int(kind))
}
