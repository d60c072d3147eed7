package yuccaplat

import (
	"encoding/json"

	"yuccacleat/core/yuccaid"
)

// Revision counts the service's changes; a stale service shows a lower one.
type Revision uint64

// Entry is one key with its value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Page is what changed after a revision, as far as it fits into one answer.
type Page struct {
	Revision Revision `json:"revision"`
	Entries  []Entry  `json:"entries"`
	More     bool     `json:"more"`

	// Stale says that the service has gone back behind the revision asked for.
	Stale bool `json:"-"`
}

// next returns the revision to go on from. While more pages follow, Revision is the
// service's own and already beyond what this page holds.
func (page Page) next(asked Revision) Revision {
	if !page.More {
		return page.Revision
	}
	reached := asked
	for _, entry := range page.Entries {
		reached = max(reached, entry.Revision)
	}
	return reached
}

// VMKind says what runs on a VM.
type VMKind string

const (
	// VMEntry runs a daemon.
	VMEntry VMKind = "entry"
	// VMTarget runs a target.
	VMTarget VMKind = "target"
)

// VMState is what the list says of a VM.
type VMState string

const (
	// VMLive is a VM that stays.
	VMLive VMState = "live"
	// VMLeaving is a VM that goes away soon.
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list.
type VM struct {
	Name    yuccaid.VM     `json:"vm"`
	Centre  yuccaid.Centre `json:"centre"`
	Address string         `json:"address"`
	Kind    VMKind         `json:"kind"`
	State   VMState        `json:"state"`
}

// vmList is the platform's answer, of which each entry is decoded by itself.
type vmList struct {
	VMs []json.RawMessage `json:"vms"`
}

// decode returns the entries that can be decoded. An odd one hides no other.
func (list *vmList) decode() []VM {
	var vms []VM
	for _, raw := range list.VMs {
		var vm VM
		if err := json.Unmarshal(raw, &vm); err == nil && vm.Name != "" {
			vms = append(vms, vm)
		}
	}
	return vms
}
