package yuccaquota

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// tally sums one quantity over a window, over all daemons whose reports have arrived.
type tally struct {
	all yuccawindow.Sum
	// localDaemon is the amount counted by this daemon, localCentre by all daemons of this data
	// centre, and remote by those of each remote data centre.
	localDaemon yuccawindow.Sum
	localCentre yuccawindow.Sum
	remote      map[yuccaid.Centre]*yuccawindow.Sum
	// unattributed is the amount copied from another daemon's total without knowing which data
	// centre counted it. When a data centre sends all that it has counted, this amount is part of it.
	unattributed yuccawindow.Sum
	// lifetime is what this daemon has counted since it started, and lifetimeReported the value of
	// lifetime in its last report to the daemons of its data centre. unsentRemote is the amount
	// counted by this data centre that hasn't been reported to the remote ones.
	lifetime         int64
	lifetimeReported int64
	unsentRemote     int64
}

// advance moves the window to now and drops what has left it.
func (tl *tally) advance(now time.Time, span time.Duration) {
	tl.all.Advance(now, span)
	tl.localDaemon.Advance(now, span)
	tl.localCentre.Advance(now, span)
	tl.unattributed.Advance(now, span)
}

// count adds an amount that this daemon counts.
func (tl *tally) count(amount int64) {
	tl.lifetime += amount
	tl.localDaemon.Add(amount)
	tl.addCentre(amount)
}

// addCentre adds an amount that a daemon of this data centre counts.
func (tl *tally) addCentre(amount int64) {
	tl.all.Add(amount)
	tl.localCentre.Add(amount)
	tl.unsentRemote += amount
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

// raiseRemote applies the amounts that a remote data centre has counted within the window, by age,
// and adds what hasn't been counted yet.
func (tl *tally) raiseRemote(now time.Time, span time.Duration, centre yuccaid.Centre, reported []int64) {
	sum := tl.remoteSum(now, span, centre)
	for _, portion := range missing(reported, sum) {
		sum.AddAtAge(portion.age, portion.amount)
		tl.all.AddAtAge(portion.age, portion.amount-tl.attribute(portion))
	}
}

// attribute removes an amount from the unattributed sum, because its data centre is known now, and
// returns how much was removed.
func (tl *tally) attribute(portion agedAmount) int64 {
	attributed := min(portion.amount, max(tl.unattributed.Total(), 0))
	tl.unattributed.AddAtAge(portion.age, -attributed)
	return attributed
}

// raise raises the total to a higher one that is given by age.
func (tl *tally) raise(reported []int64) {
	for _, portion := range missing(reported, &tl.all) {
		tl.all.AddAtAge(portion.age, portion.amount)
		tl.unattributed.AddAtAge(portion.age, portion.amount)
	}
}

// agedAmount is an amount with the age group in which it was counted.
type agedAmount struct {
	age    int
	amount int64
}

// missing returns what a sum lacks compared to that of another daemon, the oldest part first.
//
// Daemons copy one another's sums whenever they connect. If the copies were counted as new amounts,
// they would be passed back and forth while daemons restart, and never leave the window.
func missing(reported []int64, sum *yuccawindow.Sum) []agedAmount {
	deficit := -sum.Total()
	for _, amount := range reported {
		deficit += amount
	}
	var portions []agedAmount
	ages := sum.Ages()
	for age := min(len(reported), len(ages)) - 1; age >= 0 && deficit > 0; age-- {
		if portion := min(deficit, reported[age]-ages[age]); portion > 0 {
			portions = append(portions, agedAmount{age, portion})
			deficit -= portion
		}
	}
	return portions
}
