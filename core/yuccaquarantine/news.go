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

// Crash is the unexpected end of a process. Traits are those of the runs that may have caused it.
type Crash struct {
	Process Process
	At      time.Time
	Traits  []Trait
}

// Cleared is a trait with which a run came far in its answer.
type Cleared struct {
	Trait Trait
	At    time.Time
}

// Trial is the sending of a request with held traits. Number counts the trials of each of the traits.
type Trial struct {
	Traits []Trait
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
