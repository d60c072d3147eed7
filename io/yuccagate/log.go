package yuccagate

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// logger writes the log lines that operators search by field. Its levels define what may be
// left out under load: first the steps that went well (debug), then decisions on requests
// (info), and last decisions on requests of rank 0 and changes of this daemon's state (warn).
type logger struct {
	inner log.Logger
}

// stateChange logs that this daemon's view of the fleet, or its own state, has changed. Operators'
// tools search for its event name.
func (lg logger) stateChange(what string, fields ...any) {
	_ = level.Warn(lg.inner).Log(append([]any{"event", "belief", "what", what}, fields...)...)
}

// logStep logs a step of a request that went well, or a refusal that anybody can cause at will.
func (req *callerRequest) logStep(event string, fields ...any) {
	_ = level.Debug(req.gate.log.inner).Log(append([]any{"event", event, "request", req.info.ID}, fields...)...)
}

// logDecision logs a decision on a request that its caller may ask about. Decisions on requests
// of rank 0 are logged at the level that is left out last.
func (req *callerRequest) logDecision(event string, fields ...any) {
	fields = append([]any{
		"event", event, "request", req.info.ID, "account", req.accountName(), "route", req.routeName(),
		"afterMillis", time.Since(req.arrivedAt).Milliseconds(),
	}, fields...)
	if req.route != nil && req.route.Rank == 0 {
		_ = level.Warn(req.gate.log.inner).Log(fields...)
		return
	}
	_ = level.Info(req.gate.log.inner).Log(fields...)
}

// routeName returns the route's name, empty if no route was found.
func (req *callerRequest) routeName() string {
	if req.route == nil {
		return ""
	}
	return req.route.Name
}
