package yuccadaemon

import (
	"sync"
	"time"

	"yuccacleat/core/yuccaid"
)

// auditKept bounds the ring: at 1,000 changes of configuration a day and a few
// changes of leader an hour it holds about three days.
const auditKept = 4096

// AuditKind names what an entry of the audit trail records.
type AuditKind string

// The kinds of audit entries besides those of the configuration's chain.
const (
	AuditLeading       AuditKind = "leading"
	AuditLeft          AuditKind = "leadershipEnded"
	AuditWoken         AuditKind = "wokenFromPause"
	AuditTargetLeaving AuditKind = "targetLeaving"
	AuditOrder         AuditKind = "order"
	AuditDraining      AuditKind = "draining"
)

// AuditEntry is one change: who made it, of what, under which configuration.
type AuditEntry struct {
	At     time.Time            `json:"at"`
	Kind   AuditKind            `json:"kind"`
	Who    string               `json:"who,omitempty"`
	What   string               `json:"what,omitempty"`
	Number yuccaid.ConfigNumber `json:"number"`
	Before yuccaid.Digest       `json:"before,omitempty"`
	After  yuccaid.Digest       `json:"after,omitempty"`
	Detail string               `json:"detail,omitempty"`
}

// audit is a bounded ring of changes that operators can read; each is logged as well.
type audit struct {
	mu      sync.Mutex
	entries []AuditEntry
	next    int
	log     func(AuditEntry)
}

func newAudit(log func(AuditEntry)) *audit {
	return &audit{log: log}
}

func (aud *audit) add(now time.Time, entry AuditEntry) {
	entry.At = now
	aud.log(entry)
	aud.mu.Lock()
	defer aud.mu.Unlock()
	if len(aud.entries) < auditKept {
		aud.entries = append(aud.entries, entry)
		return
	}
	aud.entries[aud.next] = entry
	aud.next = (aud.next + 1) % auditKept
}

// list returns the entries, oldest first.
func (aud *audit) list() []AuditEntry {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	list := make([]AuditEntry, 0, len(aud.entries))
	list = append(list, aud.entries[aud.next:]...)
	return append(list, aud.entries[:aud.next]...)
}
