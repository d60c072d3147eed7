package yuccareturn

import "time"

// Urgency is a tier and a rank within it.
type Urgency struct{ Tier, Rank int }

// Plan holds, by urgency, when the refused callers that were told to come back will have been served. Its
// memory is bounded by the number of urgencies. It isn't safe for concurrent use.
type Plan struct {
	latest time.Duration
	next   map[Urgency]time.Time
}

// New returns a plan without callers. None is told to come back later than the given time.
func New(latest time.Duration) Plan {
	return Plan{latest: latest}
}

// Next returns the time until a caller should come back, who is served after those of the same urgency that
// were refused before. earliest is the time until there is room for its request alone, and takes the time in
// which that much room becomes free.
func (pln *Plan) Next(now time.Time, urg Urgency, earliest, takes time.Duration) time.Duration {
	at, latest := now.Add(earliest), now.Add(pln.latest)
	if next := pln.next[urg]; next.After(at) {
		at = next
	}
	if at.After(latest) {
		at = latest
	}
	if pln.next == nil {
		pln.next = make(map[Urgency]time.Time)
	}
	pln.next[urg] = at.Add(takes)
	return at.Sub(now)
}
