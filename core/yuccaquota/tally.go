package yuccaquota

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// tally sums an account's admitted or requested usage over a window and over all daemons whose
// reports have arrived.
type tally struct {
	// all is the amount counted by all daemons of all data centres.
	all yuccawindow.Sum
	// localDaemon is the amount counted by this daemon, and localCentre the amount counted by all
	// daemons of this data centre. remote holds, for each remote data centre, the amount counted by
	// its daemons.
	localDaemon yuccawindow.Sum
	localCentre yuccawindow.Sum
	remote      map[yuccaid.Centre]*yuccawindow.Sum
	// unattributed is the part of all that was copied from another daemon's total without knowing
	// which data centre counted it. When a remote data centre sends its own total, that total is
	// assumed to include the unattributed amount, which therefore isn't added to all again.
	unattributed yuccawindow.Sum
	// lifetime is what this daemon has counted since it started, and lifetimeReported the value of
	// lifetime in its last report to each audience. unreportedToRemote is the amount counted by this
	// data centre that hasn't been reported to the remote data centres.
	lifetime           int64
	lifetimeReported   [audiences]int64
	unreportedToRemote int64
}

// advance moves the window to now and drops what has left it.
func (tl *tally) advance(now time.Time, span time.Duration) {
	tl.all.Advance(now, span)
	tl.localDaemon.Advance(now, span)
	tl.localCentre.Advance(now, span)
	tl.unattributed.Advance(now, span)
}

// addLocalDaemon adds an amount that this daemon counts.
func (tl *tally) addLocalDaemon(amount int64) {
	tl.lifetime += amount
	tl.localDaemon.Add(amount)
	tl.addLocalCentre(amount)
}

// addLocalCentre adds an amount that a daemon of this data centre counts.
func (tl *tally) addLocalCentre(amount int64) {
	tl.all.Add(amount)
	tl.localCentre.Add(amount)
	tl.unreportedToRemote += amount
}

// addRemote adds an amount that a remote data centre counts.
func (tl *tally) addRemote(now time.Time, span time.Duration, centre yuccaid.Centre, amount int64) {
	tl.remoteSum(now, span, centre).Add(amount)
	tl.all.Add(amount)
}

// remoteSum returns the sum of a remote data centre.
func (tl *tally) remoteSum(now time.Time, span time.Duration, centre yuccaid.Centre) *yuccawindow.Sum {
	sum := tl.remote[centre]
	if sum == nil {
		sum = &yuccawindow.Sum{}
		if tl.remote == nil {
			tl.remote = make(map[yuccaid.Centre]*yuccawindow.Sum)
		}
		tl.remote[centre] = sum
	}
	sum.Advance(now, span)
	return sum
}

// raiseRemote raises the sum of a remote data centre to the amounts that it has counted within the
// window, given by age group, and adds the difference to the sum over all daemons, except for the
// part of it that attribute takes from the unattributed sum.
func (tl *tally) raiseRemote(now time.Time, span time.Duration, centre yuccaid.Centre, reported []int64) {
	sum := tl.remoteSum(now, span, centre)
	for _, portion := range missingAmounts(reported, sum) {
		sum.AddAtAge(portion.group, portion.amount)
		tl.all.AddAtAge(portion.group, portion.amount-tl.attribute(portion))
	}
}

// attribute removes an amount from the unattributed sum, because the data centre that counted it is
// known now. It returns the removed amount, which is less than the given amount if the unattributed
// sum is smaller.
func (tl *tally) attribute(portion groupAmount) int64 {
	attributed := min(portion.amount, max(tl.unattributed.Total(), 0))
	tl.unattributed.AddAtAge(portion.group, -attributed)
	return attributed
}

// raiseAll raises the sum over all daemons to the amounts that another daemon reports as its sum
// over all daemons, given by age group, if the reported sum is higher.
func (tl *tally) raiseAll(reported []int64) {
	for _, portion := range missingAmounts(reported, &tl.all) {
		tl.all.AddAtAge(portion.group, portion.amount)
		tl.unattributed.AddAtAge(portion.group, portion.amount)
	}
}

// groupAmount is an amount with the age group in which it was counted.
type groupAmount struct {
	group  int
	amount int64
}

// missingAmounts returns the amounts by which a sum is smaller than the reported sum of another
// daemon, which is given by age group. The oldest amount comes first.
//
// Daemons copy one another's sums whenever they connect. If the copies were counted as new amounts,
// daemons that restart in turn would copy them back and forth, and they would never leave the window.
// Therefore each amount keeps its age group.
func missingAmounts(reported []int64, sum *yuccawindow.Sum) []groupAmount {
	deficit := -sum.Total()
	for _, amount := range reported {
		deficit += amount
	}
	var portions []groupAmount
	ages := sum.Ages()
	for group := min(len(reported), len(ages)) - 1; group >= 0 && deficit > 0; group-- {
		if portion := min(deficit, reported[group]-ages[group]); portion > 0 {
			portions = append(portions, groupAmount{group, portion})
			deficit -= portion
		}
	}
	return portions
}
