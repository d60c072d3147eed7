package yuccaquota

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

const (
	// shareFactor enlarges a daemon's share of an account's remaining quota, because demand moves
	// between daemons and most daemons use little of their shares. withinShare limits the enlarged
	// shares, so that the shares of all daemons together never exceed the remaining quota plus the
	// reserve.
	shareFactor = 2.0
	// maxRequestShare is the largest fraction of the remaining quota that one request may cost if
	// its cost exceeds the daemon's share. This exception keeps long requests from always being
	// refused by large fleets.
	maxRequestShare = 0.25
	// usableReserveShare is the fraction of the reserve that shares may use while much of an account's
	// quota remains.
	usableReserveShare = 0.4
	// firstDrawFactor increases a request's chance to win the lottery if the daemon has admitted no
	// other request of the account within the report delay, because few daemons have such a long
	// request at the same time.
	firstDrawFactor = 1.6
	// assumedPeerRequests is the number of requests of average cost that each other daemon is
	// assumed to admit at the same time as a long request. A burst that reached sixty daemons at
	// once let an account with a low rate use at most 1.09 times its tolerated limit when
	// assumedPeerRequests was 1, and 1.02 times the limit when it was 2.
	assumedPeerRequests = 2.0
	// averageCostWeight is the weight of one request in the moving average of the cost.
	averageCostWeight = 0.1
	// idleShare is the fraction of its limit that an account must have left to count as idle. Each
	// daemon may then admit one long request.
	idleShare = 0.5
)

// withinShare returns true if this daemon may admit a request of the given cost, because the cost is
// within the daemon's share of the remaining quota or because an exception for long requests applies.
// The share is the mean of two fractions: the even share of the daemons that admit requests in the
// same role, and the fraction of the account's usage that this daemon stands for, which is its own
// usage or, if it leads the account, the usage of its data centre. That usage is counted without the
// usage that this daemon has admitted within the last report delay. If no other usage is known, the
// share is the even share.
//
// decide has already refused a cost above the remaining quota, unless the window is empty. A single
// daemon has no peers to share with, so for it withinShare always returns true.
//
// A burst reaches all daemons before any of them has received a report of it. Each daemon keeps to
// its share, so that together they admit no more than the remaining quota and the reserve.
func (led *Ledger) withinShare(now time.Time, account yuccaid.Account, win *accountWindow, cost, remaining float64, as role) bool {
	recent := float64(win.recent[as].Total())
	sharers, own := led.daemons, &win.admitted.localDaemon
	if as == leader {
		sharers, own = led.leaders, &win.admitted.localCentre
	}
	// If the window is empty, a request is admitted even if it costs more than the whole limit, because
	// it could never be admitted otherwise.
	if sharers == 1 || win.admitted.all.Total() == 0 && cost > remaining {
		return true
	}
	evenShare := 1 / float64(sharers)
	share := evenShare
	// The usage of the last report delay is left out. The other daemons don't know yet what this daemon
	// has admitted in that time, and it doesn't know what they have admitted.
	if reported := float64(win.admitted.all.Total()) - recent; reported > 0 {
		share = (evenShare + max(float64(own.Total())-recent, 0)/reported) / 2
	}
	// The share applies to the quota that remained before this daemon admitted recent. Therefore
	// recent is added to remaining here, and is counted against the share below.
	remaining += recent
	fairShare := share * min(shareFactor*remaining, remaining+usableReserveShare*led.reserve(win))
	switch {
	case recent+cost <= fairShare:
		return true
	case recent > fairShare:
		return false
	case 2*recent <= fairShare && led.fitsBesidePeers(win, sharers, cost, remaining):
		return true
	case cost > maxRequestShare*remaining:
		return false
	}
	// An idle account may have one long request admitted by each daemon; see idleShare.
	if recent == 0 && remaining > idleShare*led.limit(now, win) {
		return true
	}
	return led.lottery(now, account, win, cost, fairShare-recent, as)
}

// fitsBesidePeers reports whether there is enough quota left for a long request at a daemon that has
// used little of its share, even if each other daemon admits assumedPeerRequests requests of
// average cost at the same moment.
//
// An account with moderate use typically has a quarter of its window left, and one of its prompts
// may cost a tenth of the window. The cost of such a prompt far exceeds a daemon's share, although
// the remaining quota suffices. If one daemon refused the prompt, the next daemon would refuse the
// retry for the same reason.
func (led *Ledger) fitsBesidePeers(win *accountWindow, sharers int, cost, remaining float64) bool {
	peerCost := assumedPeerRequests * float64(sharers-1) * win.averageCost
	return cost+peerCost <= remaining+usableReserveShare*led.reserve(win)
}

// lottery reports whether a request that exceeds the remaining part of this daemon's share wins a
// lottery, which is held at most once per account and interval of the length of the report delay.
//
// Without the lottery, sixty daemons that see enough quota for four long requests would admit one
// long request each. The chance to win is such that all daemons together keep to their shares if
// each daemon draws once. If a daemon drew again for each request of a burst, the quota that was
// refused to a long request would be used by shorter requests, which have a better chance.
func (led *Ledger) lottery(now time.Time, account yuccaid.Account, win *accountWindow, cost, remainingShare float64, as role) bool {
	interval := 1 + int64(now.Sub(led.startedAt)/led.reportDelay[as])
	if win.lastLotteryInterval == interval {
		return false
	}
	win.lastLotteryInterval = interval
	chance := remainingShare / cost
	if win.recent[as].Total() == 0 {
		chance *= firstDrawFactor
	}
	return led.draw(interval, account) < chance
}

// draw returns a pseudo-random number in [0, 1) that depends on the account, the interval and this
// daemon's salt. The numbers of different daemons are independent.
func (led *Ledger) draw(interval int64, account yuccaid.Account) float64 {
	text := fmt.Sprintf("%s/%d/%d", account, interval, led.salt)
	// A float64 has a mantissa of 53 bits, so the 11 lowest bits of the hash are dropped.
	return float64(xxhash.Sum64String(text)>>11) / (1 << 53)
}
