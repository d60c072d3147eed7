package yuccacold

import "time"

// maxRemaining bounds the time that a registration may state.
const maxRemaining = time.Minute

// Statement is what a target's registration says about its being cold.
type Statement struct {
	// Revision is the revision of the registration.
	Revision uint64
	// Known reports whether the registration says for how long the target stays cold, which is Remaining.
	Known     bool
	Remaining time.Duration
	// StartMillis is when the target's process started, in Unix milliseconds, zero if the registration doesn't say so.
	StartMillis int64
}

// State is what is known of one target: until when it is cold. The zero value is a target that isn't.
type State struct {
	revision    uint64
	startMillis int64
	registered  bool
	// until is when the target ceases to be cold.
	until time.Time
	// unreachable is set since the target could not be reached, until a request that was sent afterwards is answered, and
	// unreachableAt is when it was last tried.
	unreachable   bool
	unreachableAt time.Time
}

// Register takes a registration into account, unless it has the revision of the last one. If the registration doesn't say
// whether the target is cold, the target is taken for cold if its process has started anew, or if it is first seen after
// the daemon has learned of other targets, which addedLater reports.
func (st *State) Register(now time.Time, lim Limit, stated Statement, addedLater bool) {
	if st.registered && st.revision == stated.Revision {
		return
	}
	restarted := st.registered && st.startMillis != stated.StartMillis
	first := !st.registered
	st.registered, st.revision, st.startMillis = true, stated.Revision, stated.StartMillis
	switch {
	case stated.Known:
		st.until = now.Add(min(stated.Remaining, maxRemaining))
		st.unreachable = false
	case restarted || first && addedLater:
		st.until = now.Add(lim.Duration)
	}
}

// Assume records that the target is cold from now on, whatever it has registered before.
func (st *State) Assume(now time.Time, lim Limit) {
	st.until = now.Add(lim.Duration)
}

// Unreachable records that the target could not be reached. It may have ended, and may come back cold under the
// registration of the process before.
func (st *State) Unreachable(now time.Time) {
	st.unreachable, st.unreachableAt = true, now
}

// Answered records that the target began to answer a request that was sent at the given time.
func (st *State) Answered(now, sent time.Time, lim Limit) {
	if st.unreachable && sent.After(st.unreachableAt) {
		st.unreachable = false
		st.Assume(now, lim)
	}
}

// Cold reports whether the target is cold, as far as is known.
func (st *State) Cold(now time.Time) bool { return st.unreachable || now.Before(st.until) }
