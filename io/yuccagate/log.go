package yuccagate

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// logger writes JSON lines with the fields that operators search by.
type logger struct {
	target log.Logger
}

// belief tells what this daemon now takes for true.
func (lg logger) belief(what string, fields ...any) {
	_ = level.Info(lg.target).Log(append([]any{"event", "belief", "what", what}, fields...)...)
}

// request tells of one decision on a request.
func (lg logger) request(id, event string, fields ...any) {
	_ = level.Info(lg.target).Log(append([]any{"event", event, "request", id}, fields...)...)
}
