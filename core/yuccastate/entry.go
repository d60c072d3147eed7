package yuccastate

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// EntryKind is the kind of event that an audit entry records.
type EntryKind string

const (
	// EntryAccepted records a note that took effect.
	EntryAccepted EntryKind = "accepted"
	// EntryRefused records a note or a snapshot that was refused.
	EntryRefused EntryKind = "refused"
	// EntryAdopted records a snapshot that took effect.
	EntryAdopted EntryKind = "adopted"
	// EntryAlarm records a conflict that an operator must settle: two contents were
	// published or accepted under one number.
	EntryAlarm EntryKind = "alarm"
)

// Entry is one entry of the audit trail: an event, and the configuration's digests
// before and after the event, which are equal if nothing changed. By is the author of
// the note or, for a snapshot or a fork, the peer or other source that the event came
// from.
type Entry struct {
	At     time.Time            `json:"at"`
	Kind   EntryKind            `json:"kind"`
	By     string               `json:"by"`
	Number yuccaid.ConfigNumber `json:"number"`
	Before yuccaid.Digest       `json:"before"`
	After  yuccaid.Digest       `json:"after"`
	Reason string               `json:"reason,omitempty"`
	Detail string               `json:"detail,omitempty"`
}
