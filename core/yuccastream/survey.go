package yuccastream

import (
	"slices"
	"time"
)

const (
	// minSurveyInterval and maxSurveyInterval bound the time between the starts of two surveys, which grows with the
	// daemon's age: streams that nobody remembers broke off before it started, or with a daemon that it has lost.
	minSurveyInterval = time.Second
	maxSurveyInterval = 15 * time.Second
	// surveyRetention is how long the result of a survey is kept. It is longer than callers of streams wait.
	surveyRetention = time.Minute
	// maxSurveyed bounds the number of holdings of one survey.
	maxSurveyed = 1 << 15
)

// PartKey identifies a part of a prompt among those that targets list, regardless of the parts before it.
type PartKey uint64

// Survey holds what a group of targets kept of prompts when they were last asked. It isn't safe for
// concurrent use.
type Survey struct {
	// since is when the daemon started, or has last lost another one.
	since     time.Time
	startedAt time.Time
	running   bool
	// found is what the last survey has found, and known reports whether that counts.
	found Findings
	known bool
	// outdated reports whether the running survey began before another daemon was lost.
	outdated bool
}

// Findings is what a group of targets kept of prompts.
type Findings struct {
	Held map[PartKey][]Holding
	// Silent are the origins of the targets that didn't tell. Each of these may have kept some of any part.
	Silent map[Origin]bool
}

// NewSurvey returns a survey that hasn't begun, of a daemon that has started.
func NewSurvey(since time.Time) *Survey { return &Survey{since: since} }

// Find returns what the targets kept of a part, with a holding of no tokens for those that may have kept some of it. If nothing
// is known, any of them may have.
func (sv *Survey) Find(part PartKey) []Holding {
	if !sv.known {
		return []Holding{{}}
	}
	list := slices.Clone(sv.found.Held[part])
	for origin := range sv.found.Silent {
		list = append(list, Holding{Origin: origin})
	}
	return list
}

// Tells reports whether some of the targets kept the part, and nothing else can be found out by asking again.
func (sv *Survey) Tells(part PartKey) bool {
	return sv.known && len(sv.found.Silent) == 0 && len(sv.found.Held[part]) > 0
}

// Expire forgets what the targets kept once its time has passed.
func (sv *Survey) Expire(now time.Time) {
	if now.Sub(sv.startedAt) > surveyRetention {
		sv.forget()
	}
}

func (sv *Survey) forget() { sv.found, sv.known = Findings{}, false }

// LoseDaemon forgets what the targets kept, because the lost daemon may have begun streams after they told.
func (sv *Survey) LoseDaemon(now time.Time) {
	sv.since = now
	sv.outdated = sv.running
	sv.forget()
}

// Known reports whether the targets have told what they keep.
func (sv *Survey) Known() bool { return sv.known }

// Running reports whether the targets are being asked.
func (sv *Survey) Running() bool { return sv.running }

// Start reports whether the targets may be asked now, and has the survey run if so. Each question delays a
// target's work a little.
func (sv *Survey) Start(now time.Time) bool {
	interval := min(max(now.Sub(sv.since)/4, minSurveyInterval), maxSurveyInterval)
	if sv.running || !sv.startedAt.IsZero() && now.Sub(sv.startedAt) < interval {
		return false
	}
	sv.startedAt, sv.running = now, true
	return true
}

// End ends the survey with what was found. If there are more than maxSurveyed holdings, all are dropped: those that are left
// wouldn't show whether other targets keep the same parts.
func (sv *Survey) End(found Findings) {
	count := 0
	for _, list := range found.Held {
		count += len(list)
	}
	sv.running, sv.found, sv.known = false, found, count <= maxSurveyed && !sv.outdated
	sv.outdated = false
	if !sv.known {
		sv.forget()
	}
}
