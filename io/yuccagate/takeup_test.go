package yuccagate

import (
	"testing"
	"time"

	"yuccacleat/core/yuccaroute"
)

// TestTakeUpIsScheduledAsWorkThatGoesOn guards against the failure that streams which callers take up are refused as late in an overload while
// new requests begin.
func TestTakeUpIsScheduledAsWorkThatGoesOn(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	route := &yuccaroute.Route{Name: "note", Kind: yuccaroute.Stream, Rank: 3, LatencyTarget: 500 * time.Millisecond, MaxGap: 300 * time.Millisecond}
	for _, test := range []struct {
		name, lastEventID    string
		rank                 int
		softDeadline, answer int64
	}{
		{"new", "", 3, 500, 100},
		{"taken up", "40", 0, 2000, 60},
		{"taken up behind its announced end", "140", 0, 2000, 1},
		{"taken up after an event without a number", "x", 0, 2000, 100},
	} {
		req := &callerRequest{gate: &Gate{}, route: route, arrivedAt: now, deadline: now.Add(9 * time.Second)}
		req.info = RequestInfo{Answer: 100, LastEventID: test.lastEventID, EventTimeout: 2 * time.Second}
		got := req.schedulerRequest(now, time.Time{})
		if got.Rank != test.rank || got.SoftDeadline.Sub(now).Milliseconds() != test.softDeadline || int64(got.Answer) != test.answer {
			t.Errorf("%s: rank %d, soft deadline after %v, answer %d; want %d, %d ms, %d",
				test.name, got.Rank, got.SoftDeadline.Sub(now), got.Answer, test.rank, test.softDeadline, test.answer)
		}
	}
}
