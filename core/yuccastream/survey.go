package yuccastream

import "time"

const (
	// minSurveyInterval and maxSurveyInterval bound the time between the starts of two surveys, which grows with the
	// daemon's age: streams that nobody remembers broke off before it started.
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
	// since is when the daemon started.
	since     time.Time
	startedAt time.Time
	running   bool
	held      map[PartKey][]Holding
	// dropped reports whether the targets kept too much to be held here.
	dropped bool
}

// NewSurvey returns a survey that hasn't begun, of a daemon that has started.
func NewSurvey(since time.Time) *Survey { return &Survey{since: since} }

// Find returns what the targets kept of a part. If that was dropped, any of them may have kept some of it.
func (sv *Survey) Find(part PartKey) []Holding {
	if sv.dropped {
		return []Holding{{}}
	}
	return sv.held[part]
}

// Tells reports whether some of the targets kept the part, and nothing else can be found out by asking again.
func (sv *Survey) Tells(part PartKey) bool { return !sv.dropped && len(sv.held[part]) > 0 }

// Expire forgets what the targets kept once its time has passed.
func (sv *Survey) Expire(now time.Time) {
	if now.Sub(sv.startedAt) > surveyRetention {
		sv.held, sv.dropped = nil, false
	}
}

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

// End ends the survey with what the targets keep. Too many holdings are dropped, because of some of them it wouldn't be
// known that others keep the same part.
func (sv *Survey) End(held map[PartKey][]Holding) {
	count := 0
	for _, list := range held {
		count += len(list)
	}
	sv.running, sv.held, sv.dropped = false, held, count > maxSurveyed
	if sv.dropped {
		sv.held = nil
	}
}
