package yuccapeer

import (
	"cmp"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccaid"
)

// Member is one daemon of the fleet.
type Member struct {
	VM          yuccaid.VM          `json:"vm"`
	Centre      yuccaid.Centre      `json:"centre"`
	Address     string              `json:"address"`
	Incarnation yuccaid.Incarnation `json:"incarnation"`
	Leaving     bool                `json:"leaving"`
}

// Listing is one VM of the platform's list or of a peer's roster. VM and Centre are empty if
// only the address is known, from the settings.
type Listing struct {
	VM      yuccaid.VM     `msgpack:"vm"`
	Centre  yuccaid.Centre `msgpack:"centre"`
	Address string         `msgpack:"address"`
	Leaving bool           `msgpack:"leaving"`
}

// Heartbeat is the full state that a daemon reports to its peers.
type Heartbeat struct {
	Incarnation yuccaid.Incarnation `msgpack:"incarnation"`
	Centre      yuccaid.Centre      `msgpack:"centre"`
	Address     string              `msgpack:"address"`
	// Number and Digest are those of the configuration that the sender has accepted.
	Number  yuccaid.ConfigNumber `msgpack:"number"`
	Digest  yuccaid.Digest       `msgpack:"digest"`
	Leaving bool                 `msgpack:"leaving"`
	// Sequence increases with each heartbeat or pulse that the sender sends to this receiver.
	// Version increases when Number, Digest or Leaving changes.
	Sequence uint64 `msgpack:"sequence"`
	Version  uint64 `msgpack:"version"`
	// Unlisted is set until the sender has read the platform's list. Knows is the number of
	// candidates of its own data centre that the sender knows, itself included.
	Unlisted bool `msgpack:"unlisted"`
	Knows    int  `msgpack:"knows"`
}

// Pulse is a short heartbeat, which reports that nothing has changed since the full
// heartbeat of the given version. If RequestHeartbeat is set, the receiver replies with its
// own full heartbeat.
type Pulse struct {
	Sequence         uint64
	Version          uint64
	RequestHeartbeat bool
}

// pulseFields is the number of elements in an encoded pulse.
const pulseFields = 3

// EncodeMsgpack writes an array without field names. A pulse is sent hundreds of times more
// often than a full heartbeat, and field names would be most of the pulse's length.
func (pulse Pulse) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Join(
		enc.EncodeArrayLen(pulseFields),
		enc.EncodeUint(pulse.Sequence),
		enc.EncodeUint(pulse.Version),
		enc.EncodeBool(pulse.RequestHeartbeat),
	)
}

// DecodeMsgpack reads what EncodeMsgpack writes.
func (pulse *Pulse) DecodeMsgpack(dec *msgpack.Decoder) error {
	length, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if length != pulseFields {
		return fmt.Errorf("received a pulse with %d fields instead of %d, so its sender runs another version: upgrade the older of the two daemons", length, pulseFields)
	}
	return dec.DecodeMulti(&pulse.Sequence, &pulse.Version, &pulse.RequestHeartbeat)
}

// member returns the sender of the heartbeat.
func (heartbeat Heartbeat) member() Member {
	return Member{
		VM:          heartbeat.Incarnation.VM,
		Centre:      heartbeat.Centre,
		Address:     heartbeat.Address,
		Incarnation: heartbeat.Incarnation,
		Leaving:     heartbeat.Leaving,
	}
}

// compareMembers orders members by their VM's name, then by their nonce.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation.Nonce, b.Incarnation.Nonce))
}
