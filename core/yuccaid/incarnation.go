package yuccaid

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// nonceBytes is the length of a nonce: 128 random bits, so that no two processes of a VM
// draw the same nonce.
const nonceBytes = 16

// Incarnation identifies one process of a daemon: its VM and a nonce drawn at start.
//
// A process that is started after a crash or as a replacement has no record of the requests
// that its predecessor dispatched. If both processes had the same id, the new one would
// take itself for the owner of a request that a caller sends again, and dispatch it a second
// time. The nonces differ, so the new process doesn't own its predecessor's requests.
type Incarnation struct {
	VM    VM
	Nonce string
}

// NewIncarnation returns the incarnation of a VM whose nonce is the given random bytes.
func NewIncarnation(vm VM, random [nonceBytes]byte) Incarnation {
	return Incarnation{VM: vm, Nonce: hex.EncodeToString(random[:])}
}

// String returns "vm.nonce", the nonce in hex.
func (inc Incarnation) String() string {
	return string(inc.VM) + "." + inc.Nonce
}

// IsZero reports whether inc is the zero value, which identifies no daemon.
func (inc Incarnation) IsZero() bool {
	return inc == Incarnation{}
}

// ParseIncarnation parses the result of String.
func ParseIncarnation(s string) (Incarnation, error) {
	vm, nonce, found := strings.Cut(s, ".")
	raw, err := hex.DecodeString(nonce)
	if !found || !ValidName(vm) || err != nil || len(raw) != nonceBytes {
		return Incarnation{}, fmt.Errorf("incarnation %q is not a VM's name, a dot and a nonce of 32 hex digits: copy one that a daemon printed", s)
	}
	return Incarnation{VM: VM(vm), Nonce: nonce}, nil
}

// MarshalText returns the result of String, and nothing for the zero value. JSON and
// msgpack encode an incarnation as this text.
func (inc Incarnation) MarshalText() ([]byte, error) {
	if inc.IsZero() {
		return nil, nil
	}
	return []byte(inc.String()), nil
}

// UnmarshalText parses the result of MarshalText.
func (inc *Incarnation) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*inc = Incarnation{}
		return nil
	}
	parsed, err := ParseIncarnation(string(text))
	*inc = parsed
	return err
}
