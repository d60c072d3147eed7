package yuccagate

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// logger writes the log lines that operators search by field. The level of a line defines how soon
// the line may be left out under load. Steps that went well (debug) are left out first, then
// decisions on requests (info). Decisions on requests of rank 0 and changes of this daemon's state
// (warn) are left out last.
type logger struct {
	inner log.Logger
}

// stateChange logs that this daemon's own state, or its view of the fleet, has changed. The event
// name of these lines must stay as it is, because operators' tools search for it.
func (lg logger) stateChange(what string, fields ...any) {
	_ = level.Warn(lg.inner).Log(append([]any{"event", "belief", "what", what}, fields...)...)
}

// logStep logs a step of a request that went well. It also logs refusals that anybody can cause at
// will, because at the debug level they can't crowd out other lines.
func (req *callerRequest) logStep(event string, fields ...any) {
	_ = level.Debug(req.gate.log.inner).Log(append([]any{"event", event, "request", req.info.ID}, fields...)...)
}

// logDecision logs a decision on a request. The request's caller may ask later why the decision was
// made. Decisions on requests of rank 0 are logged at the warn level, which is left out last.
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

// routeName returns the name of the request's route, or the empty string if no route was found.
func (req *callerRequest) routeName() string {
	if req.route == nil {
		return ""
	}
	return req.route.Name
}
