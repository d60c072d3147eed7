package yuccaid

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// nonceBytes makes two processes at one address differ: 128 random bits.
const nonceBytes = 16

// Incarnation is one run of a daemon's process: the VM and a nonce drawn at start.
//
// A restarted or replaced process has lost its memory of what it dispatched. If it
// passed for its predecessor, a caller who sends a request again would have it run
// twice. The nonce makes the successor a stranger to the predecessor's requests.
type Incarnation struct {
	VM    VM
	Nonce string
}

// NewIncarnation joins a VM's name with random bytes.
func NewIncarnation(vm VM, random [nonceBytes]byte) Incarnation {
	return Incarnation{VM: vm, Nonce: hex.EncodeToString(random[:])}
}

// String returns the form "vm.nonce".
func (inc Incarnation) String() string {
	return string(inc.VM) + "." + inc.Nonce
}

// IsZero reports whether no daemon is meant.
func (inc Incarnation) IsZero() bool {
	return inc == Incarnation{}
}

// ParseIncarnation reads the form that String writes.
func ParseIncarnation(s string) (Incarnation, error) {
	vm, nonce, found := strings.Cut(s, ".")
	raw, err := hex.DecodeString(nonce)
	if !found || !ValidName(vm) || err != nil || len(raw) != nonceBytes {
		return Incarnation{}, fmt.Errorf("incarnation %q is not of the form vm.nonce: use one that a daemon printed", s)
	}
	return Incarnation{VM: VM(vm), Nonce: nonce}, nil
}

// MarshalText writes the form of String, also as the value in JSON and msgpack.
func (inc Incarnation) MarshalText() ([]byte, error) {
	if inc.IsZero() {
		return nil, nil
	}
	return []byte(inc.String()), nil
}

// UnmarshalText reads what MarshalText writes.
func (inc *Incarnation) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*inc = Incarnation{}
		return nil
	}
	parsed, err := ParseIncarnation(string(text))
	*inc = parsed
	return err
}
