package yuccaquota

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// tally sums one thing over a window, for all daemons as far as they have reported.
type tally struct {
	all yuccawindow.Sum
	// mine is what this daemon counted, home what those of its data centre did, and away what
	// those of the others did.
	mine yuccawindow.Sum
	home yuccawindow.Sum
	away map[yuccaid.Centre]*yuccawindow.Sum
	// unplaced is what was taken over from another daemon's total without knowing whose it
	// is. When a data centre tells all that it counted, that is a part of it.
	unplaced yuccawindow.Sum
	// ever is all that this daemon counted since it began, and reported what of that it told
	// the others of its data centre; centre is what its data centre counted and hasn't
	// reported to the other ones yet.
	ever     int64
	reported int64
	centre   int64
}

// advance drops what has left the window.
func (tl *tally) advance(now time.Time, span time.Duration) {
	tl.all.Advance(now, span)
	tl.mine.Advance(now, span)
	tl.home.Advance(now, span)
	tl.unplaced.Advance(now, span)
}

// count adds what this daemon counts.
func (tl *tally) count(amount int64) {
	tl.ever += amount
	tl.mine.Add(amount)
	tl.near(amount)
}

// near adds what a daemon of this data centre counts.
func (tl *tally) near(amount int64) {
	tl.all.Add(amount)
	tl.home.Add(amount)
	tl.centre += amount
}

// far adds what another data centre counts.
func (tl *tally) far(now time.Time, span time.Duration, centre yuccaid.Centre, amount int64) {
	tl.of(now, span, centre).Add(amount)
	tl.all.Add(amount)
}

// of returns what is counted of another data centre.
func (tl *tally) of(now time.Time, span time.Duration, centre yuccaid.Centre) *yuccawindow.Sum {
	sum := tl.away[centre]
	if sum == nil {
		sum = &yuccawindow.Sum{}
		if tl.away == nil {
			tl.away = make(map[yuccaid.Centre]*yuccawindow.Sum)
		}
		tl.away[centre] = sum
	}
	sum.Advance(now, span)
	return sum
}

// whole takes all that another data centre counted within the window, by age, and adds what
// of it hasn't been heard.
func (tl *tally) whole(now time.Time, span time.Duration, centre yuccaid.Centre, theirs []int64) {
	sum := tl.of(now, span, centre)
	for _, part := range missing(theirs, sum) {
		sum.AddAtAge(part.age, part.amount)
		tl.all.AddAtAge(part.age, part.amount-tl.place(part))
	}
}

// place takes an amount whose data centre is now known out of what is unplaced, as far as it
// goes, and returns how much that was.
func (tl *tally) place(part aged) int64 {
	placed := min(part.amount, max(tl.unplaced.Total(), 0))
	tl.unplaced.AddAtAge(part.age, -placed)
	return placed
}

// raise takes over a higher total, which is given by age.
func (tl *tally) raise(theirs []int64) {
	for _, part := range missing(theirs, &tl.all) {
		tl.all.AddAtAge(part.age, part.amount)
		tl.unplaced.AddAtAge(part.age, part.amount)
	}
}

// aged is an amount that was counted some time ago.
type aged struct {
	age    int
	amount int64
}

// missing returns what a sum lacks of another daemon's, the oldest first.
//
// Daemons take over one another's sums whenever they meet. Counted anew each time, an amount
// would be passed to and fro while daemons restart, and never leave the window.
func missing(theirs []int64, mine *yuccawindow.Sum) []aged {
	lacks := -mine.Total()
	for _, amount := range theirs {
		lacks += amount
	}
	var parts []aged
	have := mine.Ages()
	for age := min(len(theirs), len(have)) - 1; age >= 0 && lacks > 0; age-- {
		if part := min(lacks, theirs[age]-have[age]); part > 0 {
			parts = append(parts, aged{age, part})
			lacks -= part
		}
	}
	return parts
}
