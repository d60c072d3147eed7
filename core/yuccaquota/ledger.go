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
	// keptSpan is what is left free of the tolerance, in seconds of an account's rate beside
	// keptBurst of its burst: for what it is let in for before all daemons have heard of it,
	// and for what it is let in for anew when all have forgotten. It is keptPart of the bound
	// at least: what an account with a small rate is let in for too much goes by the size of
	// its requests, not by its rate.
	keptSpan  = 1.6
	keptBurst = 0.8
	keptPart  = 0.1
	// rankKept is the part of a window that is kept from each rank for the ranks above it, down
	// to mostRanks below the first. When an account has used most of its quota, its urgent
	// requests still get in while its letters are told to come back. Requests of up to
	// smallPart of a window cost the account so little that they aren't kept back.
	rankKept  = 0.06
	mostRanks = 3
	smallPart = 1.0 / 500
	// mostUnknown bounds the accounts that are counted before a configuration is known.
	mostUnknown = 10000
	// leastBack keeps refused callers from coming back in a loop, and mostBack bounds what
	// they are told.
	leastBack = 200 * time.Millisecond
	mostBack  = 8 * time.Second
)

// Tolerance is how far an account may go beyond its quota in any window before that counts
// as a breach: by a part of what the window allows, and by an amount.
//
// A request that is refused although its account was within the quota is lost for nothing,
// and what was let in elsewhere is known late. So most of the tolerance is used.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Allowance float64
}

// Ledger counts what accounts are let in for. It isn't safe for concurrent use.
type Ledger struct {
	windows   map[yuccaid.Account]*window
	tellers   map[yuccaid.Incarnation]*teller
	tolerance Tolerance
	part      float64
	// parted is since when this daemon may use only a part, zero if it may use all.
	parted  time.Time
	daemons int
	salt    uint64
	delay   time.Duration
	// configured says that the accounts are known.
	configured bool
	// forgot is when this daemon began without memory, until it is told or a window passed.
	forgot  time.Time
	amnesic bool
}

// window is what is known of one account's last seconds.
type window struct {
	quota yuccaroute.Quota
	// let is what the account was let in for, and asked what it asked for as long as nobody
	// remembers what was let in before.
	let   tally
	asked tally
	// recent is what this daemon let in within the delay of reports, and drawn counts the delay
	// in which a request of the account last drew a lot.
	recent yuccawindow.Sum
	drawn  int64
	// usual is what a request of the account costs on average, as this daemon has seen it.
	usual float64
}

// Option changes a ledger at its construction.
type Option func(*Ledger)

// WithSalt tells a ledger's draws from those of the other daemons; it should be random.
func WithSalt(salt uint64) Option {
	return func(led *Ledger) { led.salt = salt }
}

// New returns a ledger without quotas.
func New(tolerance Tolerance, options ...Option) *Ledger {
	led := &Ledger{
		windows: make(map[yuccaid.Account]*window), tellers: make(map[yuccaid.Incarnation]*teller),
		tolerance: tolerance.orDefault(), part: 1, daemons: 1, delay: defaultDelay,
	}
	for _, option := range options {
		option(led)
	}
	return led
}

// SetTolerance changes the tolerance. What was counted stays, unless the window changes: sums
// over another window can't be told from what was counted.
func (led *Ledger) SetTolerance(now time.Time, tolerance Tolerance) {
	tolerance = tolerance.orDefault()
	if tolerance.Window != led.tolerance.Window {
		led.MarkWithoutHistory(now)
	}
	led.tolerance = tolerance
}

func (tol Tolerance) orDefault() Tolerance {
	if tol.Window <= 0 {
		tol.Window = defaultWindow
	}
	return tol
}

// MarkWithoutHistory notes that this daemon's process began anew in a fleet that was there before, so
// that others may have been let in by processes that are gone.
func (led *Ledger) MarkWithoutHistory(now time.Time) {
	led.forgot = now
	led.amnesic = true
}

// WithoutHistory reports whether this daemon still doesn't know what was let in before it began.
func (led *Ledger) WithoutHistory(now time.Time) bool {
	if led.amnesic && now.Sub(led.forgot) >= led.tolerance.Window {
		led.amnesic = false
	}
	return led.amnesic
}

// Configure sets the accounts' quotas; what was counted stays.
func (led *Ledger) Configure(now time.Time, accounts []yuccaroute.Account) {
	led.configured = true
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
			led.drop(name)
		}
	}
}

// drop forgets an account. Should it come back, all daemons count from nothing.
func (led *Ledger) drop(name yuccaid.Account) {
	delete(led.windows, name)
	for _, tlr := range led.tellers {
		delete(tlr.ever, name)
	}
}

// SetFleet sets the part of every quota that this daemon may use, 1 while it hears from most
// of the others, how many daemons there are, and how long it takes until all of them know
// what one let in.
//
// What an account has left is shared out for that time: seventy daemons that each see the
// same room and fill it let in many times as much.
func (led *Ledger) SetFleet(now time.Time, part float64, daemons int, delay time.Duration) {
	switch {
	case part >= 1:
		led.parted = time.Time{}
	case led.parted.IsZero():
		led.parted = now
	}
	led.part = part
	led.daemons = max(daemons, 1)
	// In grains, since the sums over the delay begin anew when it changes.
	led.delay = max(delay.Round(delayGrain), delayGrain)
}

// QuotaShare returns the part that was set.
func (led *Ledger) QuotaShare() float64 { return led.part }

// Daemons returns how many daemons share what an account has left.
func (led *Ledger) Daemons() int { return led.daemons }

// Verdict says whether an account was let in, and if not, why.
type Verdict string

// The verdicts of Take.
const (
	// Admitted says that the account was let in.
	Admitted Verdict = "taken"
	// WindowFull says that the account's window has no room.
	WindowFull Verdict = "windowFull"
	// ShareUsed says that this daemon had its share of the room; the rest is for the others.
	ShareUsed Verdict = "shareUsed"
	// HeldAfterRestart says that the account asks for more than its rate while nobody remembers what it
	// was let in for before.
	HeldAfterRestart Verdict = "heldAfterRestart"
)

// Answer is a verdict with what led to it.
type Answer struct {
	Verdict Verdict
	// RetryAfter is when the account has room again, where it wasn't let in.
	RetryAfter time.Duration
	// Used is what the account was let in for before, as far as is known, and Limit what it
	// might have been let in for.
	Used  int64
	Limit int64
	// UsedByDaemon is the part of Used that this daemon let in.
	UsedByDaemon int64
	// Demand is what the account asked for since all was forgotten, and Rush what an account
	// within its quota may have; both are zero where its use is remembered.
	Demand      int64
	DemandLimit int64
	// OverQuota says that the account is beyond its quota, and was let in because that is tolerated.
	OverQuota bool
}

// Admit lets an account in for a cost if its window has room for it.
//
// A request that costs more than a whole window is let in by an empty one: it would never
// be otherwise. Rank 0 is the most urgent.
func (led *Ledger) Admit(now time.Time, account yuccaid.Account, cost float64, rank int) Answer {
	win := led.windows[account]
	if win == nil || !led.configured {
		return Answer{Verdict: Admitted}
	}
	led.advance(now, win)
	win.note(cost)
	limit := led.limit(now, win)
	if cost > smallPart*limit {
		limit *= 1 - rankKept*float64(min(max(rank, 0), mostRanks))
	}
	answer := Answer{Used: win.let.all.Total(), Limit: int64(limit), UsedByDaemon: win.let.mine.Total()}
	if led.WithoutHistory(now) {
		win.asked.count(int64(cost))
		answer.Demand, answer.DemandLimit = win.asked.all.Total(), int64(led.rush(now, win))
	}
	answer.Verdict, answer.RetryAfter = led.judge(now, account, win, cost, limit)
	if answer.Verdict == Admitted && answer.Demand > max(answer.DemandLimit, int64(cost)) {
		answer.Verdict, answer.RetryAfter = led.hold(now, win, cost, limit)
	}
	answer.OverQuota = float64(win.let.all.Total())+cost > led.plain(win.quota)
	if answer.Verdict == Admitted {
		win.let.count(int64(cost))
		win.recent.Add(int64(cost))
	}
	return answer
}

// note takes a request into what is usual.
func (win *window) note(cost float64) {
	if win.usual == 0 {
		win.usual = cost
	}
	win.usual += usualWeight * (cost - win.usual)
}

func (led *Ledger) judge(now time.Time, account yuccaid.Account, win *window, cost, limit float64) (verdict Verdict, back time.Duration) {
	sum := float64(win.let.all.Total())
	room := limit - sum
	switch {
	case sum > 0 && cost > room:
		return WindowFull, bounded(win.let.all.ExpiresIn(int64(cost - room)))
	case !led.fairly(now, account, win, cost, room):
		return ShareUsed, bounded(led.delay)
	}
	return Admitted, 0
}

func bounded(back time.Duration) time.Duration {
	return min(max(back, leastBack), mostBack)
}

// limit is what a window may hold.
//
// A daemon that doesn't hear from the others gets its part of what was left when it lost
// them, and of what has left the window since. Were it to get a part of the whole, what the
// others let in before would fill that many times, and an account far below its quota would
// be refused until the window has passed.
func (led *Ledger) limit(now time.Time, win *window) float64 {
	whole := max(led.plain(win.quota), led.tolerated(win.quota)-led.kept(win))
	if led.parted.IsZero() {
		return whole
	}
	before := float64(win.let.all.Total() - win.let.all.Recent(now.Sub(led.parted)))
	return before + led.part*max(whole-before, 0)
}

// plain is what a window may hold by the quota itself.
func (led *Ledger) plain(quota yuccaroute.Quota) float64 {
	return quota.Rate*led.tolerance.Window.Seconds() + quota.Burst
}

// tolerated is what a window may hold before that counts as a breach.
func (led *Ledger) tolerated(quota yuccaroute.Quota) float64 {
	return led.plain(quota)*(1+led.tolerance.Overshoot) + led.tolerance.Allowance
}

// kept is what is left free of what is tolerated.
func (led *Ledger) kept(win *window) float64 {
	return max(win.quota.Rate*keptSpan+win.quota.Burst*keptBurst, keptPart*led.tolerated(win.quota))
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// Refund gives back what a request was let in for that did not run.
func (led *Ledger) Refund(now time.Time, account yuccaid.Account, cost float64) {
	if win := led.windows[account]; win != nil {
		led.advance(now, win)
		win.let.count(-int64(cost))
	}
}

// advance drops what has left the windows.
func (led *Ledger) advance(now time.Time, win *window) {
	win.let.advance(now, led.span())
	win.asked.advance(now, led.span())
	win.recent.Advance(now, led.delay)
}

// span is the window in which is counted: one part longer than that in which the tolerance
// holds, since a sum drops its oldest part as a whole.
func (led *Ledger) span() time.Duration {
	return led.tolerance.Window + led.tolerance.Window/yuccawindow.Parts
}

// QuotaUsage is what an account was let in for within its window, and what the window may hold.
type QuotaUsage struct {
	Account yuccaid.Account
	Used    int64
	Limit   int64
}

// QuotaUsages returns how much of its quota each account has used.
func (led *Ledger) QuotaUsages(now time.Time) []QuotaUsage {
	var list []QuotaUsage
	for name, win := range led.windows {
		led.advance(now, win)
		list = append(list, QuotaUsage{Account: name, Used: win.let.all.Total(), Limit: int64(led.limit(now, win))})
	}
	slices.SortFunc(list, func(a, b QuotaUsage) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
