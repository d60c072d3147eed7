package yuccagrant

import "time"

// timeToFinish returns the expected time from the first event of an answer to its last one on a target
// of the given pace, or zero if it isn't known.
func (base *baseline) timeToFinish(pace float64) time.Duration {
	return seconds(pace * base.gap * max(base.events-1, 0))
}

// finishes reports whether a request's answer is expected to be complete in time if its first event comes
// after the given time on a target of the given pace. Slow targets suffice for short answers. If a long
// one were sent there, it would occupy its slot for as long as its caller waits, and then be cut off.
func (base *baseline) finishes(now time.Time, req *Request, untilFirst time.Duration, pace float64) bool {
	return !now.Add(untilFirst + base.timeToFinish(pace)).After(req.End)
}

// noteFinishable records whether an idle target of the fastest pace can complete the answer of a new request in
// time. If not, the announced length is most likely wrong, and targets aren't chosen by it.
func (lead *Leader) noteFinishable(now time.Time, req *Request) {
	if req.End.IsZero() {
		return
	}
	base := lead.baseline(now, req)
	req.finishable = base.finishes(now, req, base.expectedTimeToFirst, 1)
}
