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
	// reportDelayStep is the step to which SetFleet rounds the report delay, the time until all
	// daemons have received a report of usage. Without rounding, each small change of the report
	// delay would empty the sums of the usage admitted within the report delay.
	reportDelayStep = 100 * time.Millisecond
	// defaultReportDelay is the report delay before SetFleet has been called.
	defaultReportDelay = 200 * time.Millisecond
	// defaultWindow is the window if Tolerance.Window is zero.
	defaultWindow = 8 * time.Second
	// toleranceShare is the share of the tolerance that requests may use. The rest covers usage that nobody
	// knows of: what daemons admitted that were killed after they had been cut off, or before their reports
	// had arrived.
	toleranceShare = 0.5
	// reserveSeconds and reserveBurstShare define the reserve, which is the part of the tolerated
	// limit (see toleratedLimit) that requests may not use: the usage of reserveSeconds at the
	// account's rate plus reserveBurstShare of its burst. The reserve covers the usage that is
	// admitted before all daemons have received the reports of earlier usage, and the usage that is
	// admitted a second time after all daemons have lost their usage history. It is at least
	// minReserveShare of the tolerated limit, because for an account with a low rate the excess
	// depends on the size of its requests, not on its rate.
	reserveSeconds    = 1.6
	reserveBurstShare = 0.8
	minReserveShare   = 0.1
	// rankReserve is the share of the limit that each rank leaves to the more urgent ranks, counted
	// for at most maxReservedRanks ranks. When an account has used most of its quota, its urgent
	// requests are still admitted while its less urgent requests are refused. A request that costs
	// at most rankExemptShare of the limit may also use the part left to more urgent ranks, because
	// it uses so little of the quota.
	rankReserve      = 0.06
	maxReservedRanks = 3
	rankExemptShare  = 1.0 / 500
	// maxUnconfigured limits the number of accounts whose usage is counted before Configure has been
	// called.
	maxUnconfigured = 10000
	// minRetryAfter prevents refused callers from retrying in a tight loop, and maxRetryAfter limits
	// the retry-after that callers receive.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// Tolerance is how far an account's usage may exceed its quota in any window before that counts as
// a breach.
//
// A daemon learns of the usage admitted by other daemons with a delay, so it can't both keep every
// account exactly to its quota and admit every request within a quota. Refusing a request within a
// quota is a loss without benefit. Therefore a Ledger uses a part of the tolerance, and leaves the rest to usage
// that it can't know of (toleranceShare).
type Tolerance struct {
	// Window is the length of the sliding window in which usage is counted.
	Window time.Duration
	// Overshoot is the tolerated excess as a share of what the quota allows in a window. Allowance
	// is a further tolerated excess, in units of the quota.
	Overshoot float64
	Allowance float64
}

// Ledger counts the usage of accounts and decides which requests are admitted. It isn't safe for
// concurrent use.
type Ledger struct {
	windows   map[yuccaid.Account]*accountWindow
	peers     map[yuccaid.Incarnation]*peerState
	tolerance Tolerance
	// share is the fraction of every quota that this daemon may use. shareSince is the time at which
	// share became less than 1, or zero if share is 1.
	share      float64
	shareSince time.Time
	// daemons is the number of daemons, including this one. leaders is the number of daemons that
	// lead an account, one in each data centre.
	daemons int
	leaders int
	// salt makes this daemon's lottery independent of those of the other daemons.
	salt uint64
	// reportDelay is, for each role, the time until all daemons in that role have received a report of
	// usage.
	reportDelay [roles]time.Duration
	// configured reports whether Configure has been called, and startedAt is when it was called
	// first.
	configured bool
	startedAt  time.Time
	// withoutHistory reports whether this daemon lacks the usage from before historyLostAt. It
	// becomes false when another daemon that has usage history sends its totals, or when a window
	// has passed since historyLostAt.
	historyLostAt  time.Time
	withoutHistory bool
}

// accountWindow is the usage of one account within the window.
type accountWindow struct {
	quota yuccaroute.Quota
	// admitted is the admitted usage. demand is the requested usage, including the cost of refused
	// requests. demand is counted only while the daemon is without usage history.
	admitted tally
	demand   tally
	// recent is, for each role, what this daemon has admitted within the report delay. The other
	// daemons may not know of that usage yet. Time is divided into intervals of the length of the
	// report delay, which are numbered from 1, and lastLotteryInterval is the number of the last
	// interval in which the lottery was held.
	recent              [roles]yuccawindow.Sum
	lastLotteryInterval int64
	// averageCost is the moving average of the cost of the requests that this daemon has received.
	averageCost float64
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithSalt sets a number that should be random. It makes the daemon's lottery independent of the
// lotteries of the other daemons.
func WithSalt(salt uint64) Option {
	return func(led *Ledger) { led.salt = salt }
}

// New returns a Ledger without quotas.
func New(tolerance Tolerance, options ...Option) *Ledger {
	led := &Ledger{
		windows: make(map[yuccaid.Account]*accountWindow), peers: make(map[yuccaid.Incarnation]*peerState),
		tolerance: tolerance.withDefaults(), share: 1, daemons: 1, leaders: 1, reportDelay: [roles]time.Duration{defaultReportDelay, defaultReportDelay},
	}
	for _, option := range options {
		option(led)
	}
	return led
}

// SetTolerance changes the tolerance. The counted usage is kept. If the window changes, the ledger
// is without usage history from now on, because the sums over the new window can't be computed from
// those over the old one.
func (led *Ledger) SetTolerance(now time.Time, tolerance Tolerance) {
	tolerance = tolerance.withDefaults()
	if tolerance.Window != led.tolerance.Window {
		led.MarkWithoutHistory(now)
	}
	led.tolerance = tolerance
}

func (tol Tolerance) withDefaults() Tolerance {
	if tol.Window <= 0 {
		tol.Window = defaultWindow
	}
	return tol
}

// MarkWithoutHistory records that the usage admitted before now isn't known to this daemon. It is
// called when this daemon's process has started, because processes that have ended may have
// admitted usage. SetTolerance calls it when the window has changed.
func (led *Ledger) MarkWithoutHistory(now time.Time) {
	led.historyLostAt = now
	led.withoutHistory = true
}

// WithoutHistory reports whether this daemon still lacks the usage from before MarkWithoutHistory.
func (led *Ledger) WithoutHistory(now time.Time) bool {
	if led.withoutHistory && now.Sub(led.historyLostAt) >= led.tolerance.Window {
		led.withoutHistory = false
	}
	return led.withoutHistory
}

// Configure sets the accounts' quotas. The counted usage is kept.
func (led *Ledger) Configure(now time.Time, accounts []yuccaroute.Account) {
	if !led.configured {
		led.configured, led.startedAt = true, now
	}
	known := make(map[yuccaid.Account]bool, len(accounts))
	for _, account := range accounts {
		if !account.Quota.Limited() {
			continue
		}
		known[account.Name] = true
		win := led.windows[account.Name]
		if win == nil {
			win = &accountWindow{}
			led.windows[account.Name] = win
		}
		led.advance(now, win)
		win.quota = account.Quota
	}
	for name := range led.windows {
		if !known[name] {
			led.remove(name)
		}
	}
}

// remove removes an account. If the account is configured again, all daemons count its usage from
// zero.
func (led *Ledger) remove(name yuccaid.Account) {
	delete(led.windows, name)
	for _, peer := range led.peers {
		delete(peer.lifetime, name)
	}
}

// Fleet describes the daemons among which quotas are divided.
type Fleet struct {
	// Share is the share of every quota that this daemon may use. It is 1 while this daemon receives
	// the reports of all other daemons.
	Share float64
	// Daemons is the number of daemons. Leaders is the number of data centres, in each of which one
	// daemon leads an account.
	Daemons, Leaders int
	// ReportDelay is the time until the leaders of an account in all data centres have received a
	// report of usage, and AloneReportDelay the time until all daemons have.
	ReportDelay      time.Duration
	AloneReportDelay time.Duration
}

// SetFleet sets the daemons among which quotas are divided.
//
// During the report delay, an account's remaining quota is divided among the daemons that admit
// requests of the account. Otherwise seventy daemons would each see the same remaining quota and
// use it up, and together they would admit many times the remaining quota.
func (led *Ledger) SetFleet(now time.Time, flt Fleet) {
	switch {
	case flt.Share >= 1:
		led.shareSince = time.Time{}
	case led.shareSince.IsZero():
		led.shareSince = now
	}
	led.share = flt.Share
	led.daemons = max(flt.Daemons, 1)
	led.leaders = max(flt.Leaders, 1)
	// The delays are rounded, because a change empties the recent usage of every account.
	led.reportDelay[leader] = max(flt.ReportDelay.Round(reportDelayStep), reportDelayStep)
	led.reportDelay[alone] = max(flt.AloneReportDelay.Round(reportDelayStep), led.reportDelay[leader])
}

// QuotaShare returns the share of every quota that this daemon may use.
func (led *Ledger) QuotaShare() float64 { return led.share }

// Daemons returns the number of daemons that share an account's remaining quota.
func (led *Ledger) Daemons() int { return led.daemons }

// HasQuota reports whether the requests of an account are limited. It also returns true before
// Configure has been called.
func (led *Ledger) HasQuota(account yuccaid.Account) bool {
	return !led.configured || led.windows[account] != nil
}

// Configured reports whether Configure has been called.
func (led *Ledger) Configured() bool { return led.configured }

// limit returns the usage up to which requests are admitted in a window.
//
// If this daemon may use only a share of the quota, the limit is the usage admitted before
// shareSince that is still in the window, plus that share of the rest of the full limit. A share of
// the full limit alone would be far less than the usage that all daemons had admitted before
// shareSince, so that an account far below its quota would be refused until the window has passed.
func (led *Ledger) limit(now time.Time, win *accountWindow) float64 {
	full := led.fullLimit(win)
	if led.shareSince.IsZero() {
		return full
	}
	earlier := float64(win.admitted.all.Total() - win.admitted.all.Recent(now.Sub(led.shareSince)))
	return earlier + led.share*max(full-earlier, 0)
}

// fullLimit returns the usage up to which requests are admitted in a window by all daemons together: at least
// the quota, and of what is tolerated beyond it the part that is kept for usage which daemons can't know of.
func (led *Ledger) fullLimit(win *accountWindow) float64 {
	quota, tolerated := led.quotaLimit(win.quota), led.toleratedLimit(win.quota)
	return max(quota, min(quota+toleranceShare*(tolerated-quota), tolerated-led.reserve(win)))
}

// quotaLimit returns the usage that the quota allows in a window.
func (led *Ledger) quotaLimit(quota yuccaroute.Quota) float64 {
	return quota.Rate*led.tolerance.Window.Seconds() + quota.Burst
}

// toleratedLimit returns the usage that is tolerated in a window before it counts as a breach.
func (led *Ledger) toleratedLimit(quota yuccaroute.Quota) float64 {
	return led.quotaLimit(quota)*(1+led.tolerance.Overshoot) + led.tolerance.Allowance
}

// reserve returns the part of the tolerated limit that requests may not use; see reserveSeconds.
func (led *Ledger) reserve(win *accountWindow) float64 {
	return max(win.quota.Rate*reserveSeconds+win.quota.Burst*reserveBurstShare, minReserveShare*led.toleratedLimit(win.quota))
}

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// advance moves the windows of an account to now and drops what has left them.
func (led *Ledger) advance(now time.Time, win *accountWindow) {
	win.admitted.advance(now, led.span())
	win.demand.advance(now, led.span())
	for as := range win.recent {
		win.recent[as].Advance(now, led.reportDelay[as])
	}
}

// span returns the window over which usage is counted. It is longer than Tolerance.Window by the
// length of one bucket, because a Sum drops its oldest bucket as a whole and so covers up to one
// bucket less than its span.
func (led *Ledger) span() time.Duration {
	return led.tolerance.Window + led.tolerance.Window/yuccawindow.Buckets
}

// QuotaUsage is the usage of an account within its window, and the usage up to which its requests
// are admitted.
type QuotaUsage struct {
	Account yuccaid.Account
	Used    int64
	Limit   int64
}

// QuotaUsages returns the usage of every account that has a quota, sorted by account.
func (led *Ledger) QuotaUsages(now time.Time) []QuotaUsage {
	var list []QuotaUsage
	for name, win := range led.windows {
		led.advance(now, win)
		list = append(list, QuotaUsage{Account: name, Used: win.admitted.all.Total(), Limit: int64(led.limit(now, win))})
	}
	slices.SortFunc(list, func(a, b QuotaUsage) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
