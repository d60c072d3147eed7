package yuccalog

import (
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// lineLevel is the level of a line, as far as its limits are concerned.
type lineLevel int

const (
	debugLine lineLevel = iota
	infoLine
	warnLine
	levelCount
)

var levelNames = [levelCount]string{"debug", "info", "warn"}

// levelOf returns the level of a line with the given fields. Errors count as warnings.
func levelOf(fields []any) lineLevel {
	for at := 0; at+1 < len(fields); at += 2 {
		if fields[at] != level.Key() {
			continue
		}
		switch fields[at+1] {
		case level.DebugValue():
			return debugLine
		case level.WarnValue(), level.ErrorValue():
			return warnLine
		}
		return infoLine
	}
	return infoLine
}

// levelLimit bounds the lines of one level.
type levelLimit struct {
	limiter *rate.Limiter
	// queueBytes bounds the size of the queue to which a line of the level is added.
	queueBytes int
	// omitted counts the lines that were left out since the last report.
	omitted int
}

func newLevelLimits() [levelCount]levelLimit {
	return [levelCount]levelLimit{
		debugLine: {limiter: rate.NewLimiter(debugRate, debugBurst), queueBytes: debugQueueBytes},
		infoLine:  {limiter: rate.NewLimiter(infoRate, infoBurst), queueBytes: infoQueueBytes},
		warnLine:  {limiter: rate.NewLimiter(warnRate, warnBurst), queueBytes: queueBytes},
	}
}

// allows reports whether the rate limit admits one more line now.
func (lim *levelLimit) allows(now time.Time) bool { return lim.limiter.AllowN(now, 1) }
