package yuccawire

import (
	"net/netip"
	"strconv"

	"yuccacleat/core/yuccaid"
)

// Version is the protocol's version; ends of different versions part at once.
const Version uint16 = 1

// challengeBytes are enough that a challenge never comes twice.
const challengeBytes = 16

// Purpose says what a connection is for.
type Purpose uint8

// A connection carries control messages, or one stream of traffic, and never both:
// a long answer must not hold up a heartbeat.
const (
	PurposeControl Purpose = 1
	PurposeTraffic Purpose = 2
)

// Hello is the first frame of either end.
type Hello struct {
	Version     uint16         `msgpack:"version"`
	Purpose     Purpose        `msgpack:"purpose"`
	Incarnation string         `msgpack:"incarnation"`
	Centre      yuccaid.Centre `msgpack:"centre"`
	Address     string         `msgpack:"address"`
	Leaving     bool           `msgpack:"leaving"`
	Challenge   []byte         `msgpack:"challenge"`
}

// Peer returns the incarnation that the greeting names.
func (hello Hello) Peer() (yuccaid.Incarnation, error) {
	inc, err := yuccaid.ParseIncarnation(hello.Incarnation)
	if err != nil {
		return yuccaid.Incarnation{}, &HelloError{Field: "incarnation", Value: hello.Incarnation}
	}
	return inc, nil
}

// check refuses what no daemon of this version sends.
func (hello Hello) check() error {
	if hello.Version != Version {
		return &VersionError{Ours: Version, Theirs: hello.Version}
	}
	if _, err := hello.Peer(); err != nil {
		return err
	}
	if !yuccaid.ValidName(string(hello.Centre)) {
		return &HelloError{Field: "centre", Value: string(hello.Centre)}
	}
	if _, err := netip.ParseAddrPort(hello.Address); err != nil {
		return &HelloError{Field: "address", Value: hello.Address}
	}
	if hello.Purpose != PurposeControl && hello.Purpose != PurposeTraffic {
		return &HelloError{Field: "purpose", Value: strconv.Itoa(int(hello.Purpose))}
	}
	if len(hello.Challenge) != challengeBytes {
		return &HelloError{Field: "challenge", Value: ""}
	}
	return nil
}

// Proof is the second frame of either end: the keyed digest of its role and of both
// greetings.
type Proof struct {
	Digest []byte `msgpack:"digest"`
}
