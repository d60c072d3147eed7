package yuccadaemon

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"yuccacleat/core/yuccaonce"
)

// logger writes JSON lines with the fields that operators search by.
type logger struct {
	target log.Logger
}

func (lg logger) request(r *run, event string) {
	_ = level.Debug(lg.target).Log("event", event, "request", r.id, "account", r.claim.Account, "tier", r.claim.Tier,
		"pool", r.claim.Pool, "target", r.target)
}

func (lg logger) outcome(r *run, outcome yuccaonce.Outcome) {
	_ = level.Info(lg.target).Log("event", "closed", "request", r.id, "account", r.claim.Account, "tier", r.claim.Tier,
		"pool", r.claim.Pool, "target", r.target, "run", outcome.Run, "reason", outcome.Reason, "pieces", outcome.Pieces, "partial", outcome.Partial)
}

func (lg logger) problem(what string, err error) {
	_ = level.Warn(lg.target).Log("event", "problem", "what", what, "error", err)
}

func (lg logger) entry(entry AuditEntry) {
	_ = level.Info(lg.target).Log("event", "audit", "kind", entry.Kind, "who", entry.Who, "what", entry.What,
		"number", entry.Number, "before", entry.Before, "after", entry.After, "detail", entry.Detail)
}
