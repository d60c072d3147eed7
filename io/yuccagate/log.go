package yuccagate

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// logger writes JSON lines with the fields that operators search by. Its levels say what
// may be left out under load: what went well first, and last what callers of the first tier
// were refused and what this daemon believes.
type logger struct {
	target log.Logger
}

// belief tells what this daemon now takes for true.
func (lg logger) belief(what string, fields ...any) {
	_ = level.Warn(lg.target).Log(append([]any{"event", "belief", "what", what}, fields...)...)
}

// went tells of a step of a request that went well.
func (req *request) went(event string, fields ...any) {
	_ = level.Debug(req.gate.log.target).Log(append([]any{"event", event, "request", req.caller.ID}, fields...)...)
}

// told tells of a decision on a request that its caller may ask about. Those on requests of
// the first tier are the last to be left out.
func (req *request) told(event string, fields ...any) {
	fields = append([]any{
		"event", event, "request", req.caller.ID, "account", req.accountName(), "route", req.routeName(),
		"afterMillis", time.Since(req.arrived).Milliseconds(),
	}, fields...)
	if req.route != nil && req.route.Rank == 0 {
		_ = level.Warn(req.gate.log.target).Log(fields...)
		return
	}
	_ = level.Info(req.gate.log.target).Log(fields...)
}

func (req *request) routeName() string {
	if req.route == nil {
		return ""
	}
	return req.route.Name
}
