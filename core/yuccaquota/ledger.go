package yuccaquota

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccawindow"
)

const (
	// delayGrain is the grain in which the delay of reports is counted.
	delayGrain = 100 * time.Millisecond
	// defaultDelay is how long reports take where it isn't set.
	defaultDelay = 200 * time.Millisecond
	// defaultWindow is the window where none is set.
	defaultWindow = 8 * time.Second
	// lateSpan is what an account may be let in for, in seconds of its rate, before all daemons
	// have heard of it. It is left free of what is tolerated.
	lateSpan = 0.6
	// rankKept is the part of a window that is kept from each rank for the ranks above it, down
	// to mostRanks below the first. When an account has used most of its quota, its urgent
	// requests still get in while its letters are told to come back. Requests of up to
	// smallPart of a window cost the account so little that they aren't kept back.
	rankKept  = 0.08
	mostRanks = 3
	smallPart = 1.0 / 2000
	// ampleShare widens a daemon's share of what an account has left, since demand shifts and
	// most daemons seldom use theirs; largePart is the part of it that one request may take
	// though it is more than the share, so that long requests aren't always refused in a
	// large fleet.
	ampleShare = 2.0
	largePart  = 0.25
	// amnesiaBurst is the part of its burst that an account is let in for at once by daemons
	// that have lost their memory, beside its rate. One that asks for more presses, and gets
	// amnesiaRate of its rate until a window has passed: it may have filled the window before,
	// and little is left free for it to do so again.
	amnesiaBurst = 0.8
	amnesiaRate  = 0.25
	// amnesiaSpan is the part of a window for which that rate is left free as well: the
	// rest of it passed while the account filled the window before.
	amnesiaSpan = 0.4
	// leastBack keeps refused callers from coming back in a loop, and mostBack bounds what
	// they are told.
	leastBack = 200 * time.Millisecond
	mostBack  = 8 * time.Second
)

// Spent is what one account was let in for since the last report, in the units of its
// quota. It is negative where requests that had been let in didn't run.
type Spent struct {
	Account yuccaid.Account
	Amount  int64
}

// Tolerance is how far an account may go beyond its quota in any window before that counts
// as a breach: by a part of what the window allows, and by an amount.
//
// A request that is refused although its account was within the quota is lost for nothing,
// and what was let in elsewhere is known late. So most of the tolerance is used.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Amount    float64
}

// Ledger counts what accounts are let in for. It isn't safe for concurrent use.
type Ledger struct {
	windows   map[yuccaid.Account]*window
	tolerance Tolerance
	part      float64
	daemons   int
	delay     time.Duration
	// forgot is when this daemon began without memory, until it is told or a window passed.
	forgot  time.Time
	amnesic bool
}

// window is what one account was let in for lately, by all daemons as far as is known.
type window struct {
	quota yuccaroute.Quota
	all   yuccawindow.Sum
	// mine is what this daemon let in, over the window and within the delay of reports.
	mine   yuccawindow.Sum
	recent yuccawindow.Sum
	// own is what this daemon let in and hasn't reported to those of its data centre yet,
	// centre what its data centre let in and hasn't reported to the others yet.
	own    int64
	centre int64
	// presses says that the account asked for more than its rate while nobody remembered
	// what it had before.
	presses bool
}

// New returns a ledger without quotas.
func New(tolerance Tolerance) *Ledger {
	if tolerance.Window <= 0 {
		tolerance.Window = defaultWindow
	}
	return &Ledger{windows: make(map[yuccaid.Account]*window), tolerance: tolerance, part: 1, daemons: 1, delay: defaultDelay}
}

// Forgot notes that this daemon's process began anew in a fleet that was there before, so
// that others may have been let in by processes that are gone.
func (led *Ledger) Forgot(now time.Time) {
	led.forgot = now
	led.amnesic = true
}

// Amnesic reports whether this daemon still doesn't know what was let in before it began.
func (led *Ledger) Amnesic(now time.Time) bool {
	if led.amnesic && now.Sub(led.forgot) >= led.tolerance.Window {
		led.amnesic = false
	}
	return led.amnesic
}

// Configure sets the accounts' quotas; what was counted stays.
func (led *Ledger) Configure(now time.Time, accounts []yuccaroute.Account) {
	known := make(map[yuccaid.Account]bool, len(accounts))
	for _, account := range accounts {
		if !account.Quota.Limited() {
			continue
		}
		known[account.Name] = true
		win := led.windows[account.Name]
		if win == nil {
			win = &window{}
			led.windows[account.Name] = win
		}
		led.advance(now, win)
		win.quota = account.Quota
	}
	for name := range led.windows {
		if !known[name] {
			delete(led.windows, name)
		}
	}
}

// SetFleet sets the part of every quota that this daemon may use, 1 while it hears from most
// of the others, how many daemons there are, and how long it takes until all of them know
// what one let in.
//
// What an account has left is shared out for that time: seventy daemons that each see the
// same room and fill it let in many times as much.
func (led *Ledger) SetFleet(part float64, daemons int, delay time.Duration) {
	led.part = part
	led.daemons = max(daemons, 1)
	// In grains, since the sums over the delay begin anew when it changes.
	led.delay = max(delay.Round(delayGrain), delayGrain)
}

// Part returns the part that was set.
func (led *Ledger) Part() float64 { return led.part }

// Verdict says whether an account was let in, and if not, why.
type Verdict string

// The verdicts of Take.
const (
	// Taken says that the account was let in.
	Taken Verdict = "taken"
	// Full says that the account's window has no room.
	Full Verdict = "windowFull"
	// Shared says that this daemon had its share of the room; the rest is for the others.
	Shared Verdict = "shareUsed"
	// Held says that the account asks for more than its rate while nobody remembers what it
	// was let in for before.
	Held Verdict = "heldAfterRestart"
)

// Take lets an account in for a cost if its window has room for it, and else returns when
// it will.
//
// A request that costs more than a whole window is let in by an empty one: it would never
// be otherwise. Rank 0 is the most urgent.
func (led *Ledger) Take(now time.Time, account yuccaid.Account, cost float64, rank int) (back time.Duration, verdict Verdict) {
	win := led.windows[account]
	if win == nil {
		return 0, Taken
	}
	led.advance(now, win)
	sum := float64(win.all.Total())
	limit := led.limit(now, win)
	if cost > smallPart*limit {
		limit *= 1 - rankKept*float64(min(max(rank, 0), mostRanks))
	}
	room := limit - sum
	amnesic := led.Amnesic(now)
	if sum > 0 && cost > room {
		win.presses = win.presses || amnesic && led.part == 1
		return bounded(win.all.Until(int64(cost - room))), refusal(amnesic, Full)
	}
	if amnesic {
		// Nobody knows what others let in before, so a daemon keeps to its share of all that
		// may be let in since, not of what seems to be left.
		room, sum = room+sum, float64(win.mine.Total())
	}
	if sum > 0 && !win.fairly(cost, room, led.daemons, amnesic) {
		win.presses = win.presses || amnesic && led.part == 1
		return bounded(led.delay), refusal(amnesic, Shared)
	}
	led.add(win, int64(cost))
	win.own += int64(cost)
	win.mine.Add(int64(cost))
	win.recent.Add(int64(cost))
	return 0, Taken
}

func refusal(amnesic bool, verdict Verdict) Verdict {
	if amnesic {
		return Held
	}
	return verdict
}

// fairly reports whether a cost keeps to this daemon's share of the room: the share that it
// had lately of what the account was let in for, and at least that of one daemon.
func (win *window) fairly(cost, room float64, daemons int, amnesic bool) bool {
	share := max(float64(win.mine.Total())/max(float64(win.all.Total()), 1), 1/float64(daemons))
	recent := float64(win.recent.Total())
	if amnesic {
		recent = float64(win.mine.Total())
	} else {
		// What this daemon let in lately was taken from the room that it shares out.
		room += recent
	}
	fair := min(ampleShare*share, 1) * room
	return recent+cost <= fair || recent <= fair && cost <= largePart*room
}

func bounded(back time.Duration) time.Duration {
	return min(max(back, leastBack), mostBack)
}

// limit is what a window may hold now.
func (led *Ledger) limit(now time.Time, win *window) float64 {
	quota := win.quota
	span := led.tolerance.Window.Seconds()
	plain := quota.Rate*span + quota.Burst
	kept := quota.Rate*(lateSpan+amnesiaRate*amnesiaSpan*span) + amnesiaBurst*quota.Burst
	bound := max(plain, plain*(1+led.tolerance.Overshoot)+led.tolerance.Amount-kept)
	if led.Amnesic(now) {
		bound = min(bound, win.amnesia(now.Sub(led.forgot)))
	}
	return bound * led.part
}

// amnesia is what an account is let in for so long after the daemons lost their memory. One
// that asks for more than its rate presses, and most likely did so before; the others are
// not held up.
func (win *window) amnesia(since time.Duration) float64 {
	rate := win.quota.Rate
	if win.presses {
		rate *= amnesiaRate
	}
	return rate*since.Seconds() + amnesiaBurst*win.quota.Burst
}

// Return gives back what a request was let in for that did not run.
func (led *Ledger) Return(now time.Time, account yuccaid.Account, cost float64) {
	if win := led.windows[account]; win != nil {
		led.advance(now, win)
		led.add(win, -int64(cost))
		win.own -= int64(cost)
		win.mine.Add(-int64(cost))
	}
}

// Heard takes a report of a daemon of this data centre.
func (led *Ledger) Heard(now time.Time, spent []Spent) {
	for _, each := range spent {
		if win := led.windows[each.Account]; win != nil {
			led.advance(now, win)
			led.add(win, each.Amount)
		}
	}
}

// HeardAway takes a report of another data centre.
func (led *Ledger) HeardAway(now time.Time, spent []Spent) {
	for _, each := range spent {
		if win := led.windows[each.Account]; win != nil {
			led.advance(now, win)
			led.add(win, each.Amount)
			win.centre -= each.Amount
		}
	}
}

// Report returns what this daemon let in since the last report.
func (led *Ledger) Report() []Spent {
	return led.collect(func(win *window) *int64 { return &win.own })
}

// ReportAway returns what this data centre let in since the last such report, for the one
// daemon that reports to the others.
func (led *Ledger) ReportAway() []Spent {
	return led.collect(func(win *window) *int64 { return &win.centre })
}

// Reported notes what another daemon reported of this data centre to the others. What it
// left out, because it ended first, is reported by its successor.
func (led *Ledger) Reported(spent []Spent) {
	for _, each := range spent {
		if win := led.windows[each.Account]; win != nil {
			win.centre -= each.Amount
		}
	}
}

func (led *Ledger) collect(of func(*window) *int64) []Spent {
	var list []Spent
	for name, win := range led.windows {
		if amount := of(win); *amount != 0 {
			list = append(list, Spent{Account: name, Amount: *amount})
			*amount = 0
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// Totals returns what the windows hold, for a daemon that has just started or was cut off.
func (led *Ledger) Totals(now time.Time) []Spent {
	var list []Spent
	for name, win := range led.windows {
		led.advance(now, win)
		if sum := win.all.Total(); sum > 0 {
			list = append(list, Spent{Account: name, Amount: sum})
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// Raise takes over another daemon's totals where they are higher, as if what is missing had
// been let in half a window ago. Knows says that the other has a memory of its own.
func (led *Ledger) Raise(now time.Time, totals []Spent, knows bool) {
	for _, each := range totals {
		win := led.windows[each.Account]
		if win == nil {
			continue
		}
		led.advance(now, win)
		if missing := each.Amount - win.all.Total(); missing > 0 {
			win.all.AddBefore(missing)
		}
	}
	if knows {
		led.amnesic = false
	}
}

// advance drops what has left the windows.
func (led *Ledger) advance(now time.Time, win *window) {
	win.all.Advance(now, led.tolerance.Window)
	win.mine.Advance(now, led.tolerance.Window)
	win.recent.Advance(now, led.delay)
}

func (led *Ledger) add(win *window, amount int64) {
	win.all.Add(amount)
	win.centre += amount
}

func compareSpent(a, b Spent) int {
	return cmp.Compare(a.Account, b.Account)
}
