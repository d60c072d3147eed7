package yuccaquota

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

const (
	// ampleShare widens a daemon's share of what an account has left, since demand shifts and
	// most daemons seldom use theirs. All shares together never reach beyond what is kept free.
	ampleShare = 2.0
	// largePart is the part of what is left that one request may take though it is more than
	// the share, so that long requests aren't always refused in a large fleet.
	largePart = 0.25
	// burstKept is the part of what is kept free that shares reach into while an account has much
	// left, and lotPart widens the chance of a long request that is a daemon's first: few
	// daemons have one just then.
	burstKept = 0.4
	lotPart   = 1.6
	// besideRequests is how many requests of the usual size each other daemon is taken to let in
	// beside a long one, and usualWeight the weight of one request in what is usual. With one
	// request of each, a burst that reached sixty daemons at once let an account of small rate
	// in for 1.09 times what is tolerated at worst, with two for 1.02.
	besideRequests = 2.0
	usualWeight    = 0.1
	// idlePart is the part of its window that an account has left up to which it counts as idle,
	// and each daemon may take one such request.
	idlePart = 0.5
)

// fairly reports whether a cost keeps to this daemon's share of the room, which lies half way
// between an even share and the one that it had lately of what the account was let in for.
//
// A burst reaches all daemons before any of them has heard of the others. Each takes no more
// than its share, so that together they let in no more than the room and what is kept free.
func (led *Ledger) fairly(now time.Time, account yuccaid.Account, win *window, cost, room float64) bool {
	recent := float64(win.recent.Total())
	if led.daemons == 1 || win.let.all.Total() == 0 && cost > room {
		return true
	}
	even := 1 / float64(led.daemons)
	share := even
	// What this daemon let in lately the others haven't heard of, nor it what they did.
	if known := float64(win.let.all.Total()) - recent; known > 0 {
		share = (even + max(float64(win.let.mine.Total())-recent, 0)/known) / 2
	}
	room += recent
	fair := share * min(ampleShare*room, room+burstKept*led.kept(win))
	switch {
	case recent+cost <= fair:
		return true
	case recent > fair:
		return false
	case 2*recent <= fair && led.fitsBeside(win, cost, room):
		return true
	case cost > largePart*room:
		return false
	}
	if recent == 0 && room > idlePart*led.limit(now, win) {
		return true
	}
	return led.drawn(now, account, win, cost, fair-recent)
}

// fitsBeside reports whether there is room for a long request of a daemon that has used little
// of its share even if each of the others lets in two of the usual size at the same moment.
//
// On a calm day an account has a quarter of its window left, and a long prompt of it may be
// a tenth of that window. It is far beyond a share, yet nothing speaks against it; refused, it
// finds the same at the daemon that it comes back to.
func (led *Ledger) fitsBeside(win *window, cost, room float64) bool {
	others := besideRequests * float64(led.daemons-1) * win.usual
	return cost+others <= room+burstKept*led.kept(win)
}

// drawn reports whether a request that is larger than what this daemon has left of its share
// wins a lot, of which there is one for each delay of reports.
//
// Sixty daemons that see room for four long requests would else let in one each. So many win
// that all together keep to their shares, as long as each daemon draws once: in a burst that
// brings each of them many requests, the shorter ones would else win what a longer one lost.
func (led *Ledger) drawn(now time.Time, account yuccaid.Account, win *window, cost, left float64) bool {
	turn := now.UnixNano() / int64(led.delay)
	if win.drawn == turn {
		return false
	}
	win.drawn = turn
	chance := left / cost
	if win.recent.Total() == 0 {
		chance *= lotPart
	}
	return led.lot(turn, account) < chance
}

// lot draws a number from 0 up to 1 that is the daemon's own.
func (led *Ledger) lot(turn int64, account yuccaid.Account) float64 {
	text := fmt.Sprintf("%s/%d/%d", account, turn, led.salt)
	return float64(xxhash.Sum64String(text)>>11) / (1 << 53)
}
