package yuccaquota

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

const (
	// shareFactor enlarges a daemon's share of an account's remaining quota, because demand moves
	// between daemons and most of them use little of their shares. All shares together never exceed
	// the remaining quota plus the reserve.
	shareFactor = 2.0
	// largeShare is the fraction of the remaining quota that one request may cost although that
	// exceeds the daemon's share. It keeps long requests from always being refused by large fleets.
	largeShare = 0.25
	// reserveInShare is the fraction of the reserve that shares may use while much of an account's
	// quota remains. firstDrawFactor increases the chance of a long request that is the daemon's
	// first within the delay of reports, because few daemons have such a request at the same time.
	reserveInShare  = 0.4
	firstDrawFactor = 1.6
	// peerRequests is the number of requests of average cost that each other daemon is assumed to
	// admit at the same time as a long request. A burst that reached sixty daemons at once let an
	// account with a low rate use at most 1.09 times its tolerated limit when this was 1, and 1.02
	// times when it was 2.
	// averageWeight is the weight of one request in the moving average of the cost.
	peerRequests  = 2.0
	averageWeight = 0.1
	// idleShare is the fraction of its window that an account must have left to count as idle. Each
	// daemon may then admit one long request.
	idleShare = 0.5
)

// withinShare reports whether a cost fits into this daemon's share of the free quota. The share is
// the mean of an even share and of this daemon's recent fraction of the account's usage.
//
// A burst reaches all daemons before any of them has received a report of it. Each daemon keeps to
// its share, so that together they admit no more than the free quota and the reserve.
func (led *Ledger) withinShare(now time.Time, account yuccaid.Account, win *accountWindow, cost, free float64) bool {
	recent := float64(win.recent.Total())
	if led.daemons == 1 || win.admitted.all.Total() == 0 && cost > free {
		return true
	}
	evenShare := 1 / float64(led.daemons)
	share := evenShare
	// Usage that this daemon has recently admitted isn't known to the others, nor theirs to it.
	if known := float64(win.admitted.all.Total()) - recent; known > 0 {
		share = (evenShare + max(float64(win.admitted.localDaemon.Total())-recent, 0)/known) / 2
	}
	free += recent
	fairShare := share * min(shareFactor*free, free+reserveInShare*led.reserve(win))
	switch {
	case recent+cost <= fairShare:
		return true
	case recent > fairShare:
		return false
	case 2*recent <= fairShare && led.fitsBesidePeers(win, cost, free):
		return true
	case cost > largeShare*free:
		return false
	}
	if recent == 0 && free > idleShare*led.limit(now, win) {
		return true
	}
	return led.lottery(now, account, win, cost, fairShare-recent)
}

// fitsBesidePeers reports whether there is enough quota left for a long request at a daemon that has
// used little of its share, even if each other daemon admits peerRequests requests of average cost
// at the same moment.
//
// An account with moderate use typically has a quarter of its window left, and one of its prompts
// may cost a tenth of the window. That far exceeds a share, although the quota suffices; if it were
// refused, the retry would be refused by the next daemon for the same reason.
func (led *Ledger) fitsBesidePeers(win *accountWindow, cost, free float64) bool {
	others := peerRequests * float64(led.daemons-1) * win.averageCost
	return cost+others <= free+reserveInShare*led.reserve(win)
}

// lottery reports whether a request that exceeds the remaining part of this daemon's share wins a
// lottery, which is held once per interval of the length of the delay of reports.
//
// Without it, sixty daemons that see enough quota for four long requests would admit one each. The
// chance is such that all daemons together keep to their shares if each daemon draws once. If a
// daemon drew again for each request of a burst, the shorter requests would win what a longer one had
// lost.
func (led *Ledger) lottery(now time.Time, account yuccaid.Account, win *accountWindow, cost, remaining float64) bool {
	interval := now.UnixNano() / int64(led.delay)
	if win.lottery == interval {
		return false
	}
	win.lottery = interval
	chance := remaining / cost
	if win.recent.Total() == 0 {
		chance *= firstDrawFactor
	}
	return led.draw(interval, account) < chance
}

// draw returns a number in [0, 1) that differs from the numbers of the other daemons.
func (led *Ledger) draw(interval int64, account yuccaid.Account) float64 {
	text := fmt.Sprintf("%s/%d/%d", account, interval, led.salt)
	return float64(xxhash.Sum64String(text)>>11) / (1 << 53)
}
