package yuccaquarantine

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Process is one process of a target. StartMillis is when it started, in Unix milliseconds, zero if it hasn't said so.
type Process struct {
	Target      yuccaid.Target
	StartMillis int64
}

// Crash is the unexpected end of a process. Parts are those of the runs that may have caused it.
type Crash struct {
	Process Process
	At      time.Time
	Parts   []yuccaid.PromptPart
}

// Cleared is a part with which a run came far in its answer.
type Cleared struct {
	Part yuccaid.PromptPart
	At   time.Time
}

// Trial is the sending of a request with held parts. Number counts the trials of each of the parts.
type Trial struct {
	Parts  []yuccaid.PromptPart
	At     time.Time
	Number int
}

// News is what daemons tell one another.
type News struct {
	Crashes []Crash
	Cleared []Cleared
	Trials  []Trial
}

// IsEmpty reports whether there are no news.
func (news News) IsEmpty() bool {
	return len(news.Crashes) == 0 && len(news.Cleared) == 0 && len(news.Trials) == 0
}
