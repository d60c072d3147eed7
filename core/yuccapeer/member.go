package yuccapeer

import (
	"cmp"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccaid"
)

// Member is one daemon as others know it.
type Member struct {
	VM          yuccaid.VM          `json:"vm"`
	Centre      yuccaid.Centre      `json:"centre"`
	Address     string              `json:"address"`
	Incarnation yuccaid.Incarnation `json:"incarnation"`
	Leaving     bool                `json:"leaving"`
}

// Listing is one VM of the platform's list. VM and Centre are empty for an address
// that is known from the settings alone.
type Listing struct {
	VM      yuccaid.VM     `msgpack:"vm"`
	Centre  yuccaid.Centre `msgpack:"centre"`
	Address string         `msgpack:"address"`
	Leaving bool           `msgpack:"leaving"`
}

// Heartbeat is all that a daemon tells the others about itself.
type Heartbeat struct {
	Incarnation yuccaid.Incarnation  `msgpack:"incarnation"`
	Centre      yuccaid.Centre       `msgpack:"centre"`
	Address     string               `msgpack:"address"`
	Number      yuccaid.ConfigNumber `msgpack:"number"`
	Digest      yuccaid.Digest       `msgpack:"digest"`
	Leaving     bool                 `msgpack:"leaving"`
	Sequence    uint64               `msgpack:"sequence"`
	Version     uint64               `msgpack:"version"`
	// Unlisted says that the sender has no list from the platform yet, and Knows how many
	// daemons of its data centre it has heard of meanwhile, itself included.
	Unlisted bool `msgpack:"unlisted"`
	Knows    int  `msgpack:"knows"`
}

// Pulse is a heartbeat that says nothing has changed since the whole one of that
// version; Ask wants the receiver's whole one back.
type Pulse struct {
	Sequence         uint64
	Version          uint64
	RequestHeartbeat bool
}

// pulseFields is the length of a pulse's array.
const pulseFields = 3

// EncodeMsgpack writes an array without keys: a pulse is sent hundreds of times more
// often than a whole heartbeat, and keys would make up most of it.
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
		return fmt.Errorf("pulse of %d fields instead of %d: upgrade the older daemon", length, pulseFields)
	}
	return dec.DecodeMulti(&pulse.Sequence, &pulse.Version, &pulse.RequestHeartbeat)
}

// member returns what the heartbeat says of its sender.
func (beat Heartbeat) member() Member {
	return Member{
		VM:          beat.Incarnation.VM,
		Centre:      beat.Centre,
		Address:     beat.Address,
		Incarnation: beat.Incarnation,
		Leaving:     beat.Leaving,
	}
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation.Nonce, b.Incarnation.Nonce))
}
