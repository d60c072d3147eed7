package yuccagrant

import "time"

// timeToFinish returns the expected time from the first event of an answer to its last one on a target
// of the given pace, or zero if it isn't known.
func (base *baseline) timeToFinish(pace float64) time.Duration {
	return seconds(pace * base.gap * max(base.events-1, 0))
}

// finishes reports whether a request's answer is expected to be complete in time if its first event comes
// after the given time on a target of the given pace. Slow targets suffice for short answers. If a long
// one were sent there, it would occupy its slot for all the time that its caller waits, and be cut off.
func (base *baseline) finishes(now time.Time, req *Request, untilFirst time.Duration, pace float64) bool {
	return !now.Add(untilFirst + base.timeToFinish(pace)).After(req.End)
}

// noteFinishable records whether a fast target that is idle can complete the answer of a request that has
// just come. If none can, the length is most likely announced wrongly, and doesn't decide anything.
func (lead *Leader) noteFinishable(now time.Time, req *Request) {
	if req.End.IsZero() {
		return
	}
	base := lead.baseline(now, req)
	req.finishable = base.finishes(now, req, base.expectedTimeToFirst, 1)
}
