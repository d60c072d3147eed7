package yuccaorder

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

const (
	// DefaultLife is how long an order may be obeyed. Longer would keep new leaders
	// waiting before targets that don't check; shorter would expire orders in a slow
	// connection.
	DefaultLife = 5 * time.Second
	// DefaultLoads is the fleet's share of the weight store, in reads per minute.
	DefaultLoads = 30.0
	// loadTime is how long a target may take to load before it is ordered again. The
	// order's own life is far shorter: it bounds when it is taken, not when it is done.
	loadTime = 2 * time.Minute
)

// Hold says why no order is sent now.
type Hold string

// The reasons for sending nothing.
const (
	Settled Hold = "settled"
	Behind  Hold = "behind"
	Fencing Hold = "waitingOutOldOrders"
	Pending Hold = "orderPending"
	Pacing  Hold = "weightStorePacing"
)

// Planner decides the orders of one pool's leader.
type Planner struct {
	life   time.Duration
	loads  *rate.Limiter
	since  time.Time
	orders map[yuccaid.Target]sent
}

// sent is the last order to a target and when it ceases to be obeyed.
type sent struct {
	order Order
	until time.Time
}

// Option changes a planner's settings.
type Option func(*Planner)

// WithLife sets how long an order may be obeyed; every leader must use the same.
func WithLife(life time.Duration) Option {
	return func(plan *Planner) { plan.life = life }
}

// New returns the planner of a leader that took over at the given time.
func New(since time.Time, options ...Option) *Planner {
	plan := &Planner{
		life:   DefaultLife,
		loads:  rate.NewLimiter(0, 1),
		since:  since,
		orders: make(map[yuccaid.Target]sent),
	}
	for _, option := range options {
		option(plan)
	}
	plan.Share(since, DefaultLoads, 1)
	return plan
}

// Share sets this leader's part of the weight store's rate.
//
// A release note that changes a model's version makes every leader load at once. The
// store then refuses or slows all of them, urgent ones too. Each leader keeps to an
// equal part of the leaders in view; in a cut each side sees fewer leaders and takes
// more, so the sum may exceed the rate by the number of parts for as long as it lasts.
func (plan *Planner) Share(now time.Time, perMinute float64, leaders int) {
	perSecond := perMinute / time.Minute.Seconds() / float64(max(leaders, 1))
	plan.loads.SetLimitAt(now, rate.Limit(perSecond))
}

// Next compares a target with its wish and returns the order to send now, or the
// reason for sending none.
func (plan *Planner) Next(now time.Time, number yuccaid.ConfigNumber, name yuccaid.Target, target yuccastate.Target, wish yuccastate.EngineSetup, seen Observed) (Order, Hold) {
	order, differs := step(wish, seen)
	if !differs {
		delete(plan.orders, name)
		return Order{}, Settled
	}
	// A target that has seen a newer number was ordered by a leader that knows more.
	if seen.Fence > number {
		return Order{}, Behind
	}
	// An old leader that was frozen may still have an order under way to a target that
	// doesn't check; it would undo ours. No order outlives its life, so wait for it.
	if !target.ChecksFence && now.Before(plan.since.Add(plan.life)) {
		return Order{}, Fencing
	}
	order.Target = name
	order.Fence = number
	order.Expires = plan.life
	if last, found := plan.orders[name]; found && now.Before(last.until) && last.order == order {
		return Order{}, Pending
	}
	if order.fetches() && !plan.loads.AllowN(now, 1) {
		return Order{}, Pacing
	}
	plan.orders[name] = sent{order: order, until: now.Add(plan.patience(order))}
	return order, ""
}

// patience is how long to wait for an order to show before it is repeated.
func (plan *Planner) patience(order Order) time.Duration {
	if order.fetches() {
		return loadTime
	}
	return plan.life
}

// step returns the first difference between wish and target. An empty field of the
// wish asks for nothing, so a target that nobody configured is left as it is.
func step(wish yuccastate.EngineSetup, seen Observed) (Order, bool) {
	if wish.Model != "" && wish.Model != seen.Model {
		return Order{Kind: Load, Model: wish.Model, Version: wish.Version}, true
	}
	if wish.Version != "" && wish.Version != seen.Version {
		return Order{Kind: Version, Model: wish.Model, Version: wish.Version}, true
	}
	for _, adapter := range wish.Adapters {
		if !slices.Contains(seen.Adapters, adapter) {
			return Order{Kind: Adapter, Adapter: adapter}, true
		}
	}
	if wish.Role != "" && wish.Role != seen.Role {
		return Order{Kind: Role, Role: wish.Role}, true
	}
	return Order{}, false
}
