package yuccastate

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// EntryKind says what an audit entry records.
type EntryKind string

const (
	// EntryAccepted records a note that took effect.
	EntryAccepted EntryKind = "accepted"
	// EntryRefused records a note that changed nothing.
	EntryRefused EntryKind = "refused"
	// EntryAdopted records a snapshot that took effect.
	EntryAdopted EntryKind = "adopted"
	// EntryAlarm records what an operator must look at: history was rewritten.
	EntryAlarm EntryKind = "alarm"
)

// Entry is one line of the audit trail: who did what, and the digests before and
// after, which are equal where nothing changed.
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
