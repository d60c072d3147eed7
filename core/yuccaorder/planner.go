package yuccaorder

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

const (
	// DefaultOrderLifetime is how long after its decision an order may be obeyed. With
	// a longer lifetime new leaders would wait longer before they order targets that
	// don't check fencing numbers; with a shorter lifetime orders would expire on a
	// slow connection.
	DefaultOrderLifetime = 5 * time.Second
	// DefaultLoadsPerMinute is the rate at which all leaders together may make targets
	// read from the weight store.
	DefaultLoadsPerMinute = 30.0
	// loadTimeout is how long a target may take to carry out an order that reads
	// weights before the order is repeated. An order's lifetime is far shorter, because
	// it bounds when the target receives the order and not when the target has carried
	// it out.
	loadTimeout = 2 * time.Minute
)

// HoldReason states why no order is sent now.
type HoldReason string

// The reasons for sending no order.
const (
	Settled          HoldReason = "settled"             // the target matches its wish
	ConfigBehind     HoldReason = "behind"              // the target has seen a newer configuration than this leader
	WaitForOldOrders HoldReason = "waitingOutOldOrders" // an earlier leader's order may still be obeyed
	OrderPending     HoldReason = "orderPending"        // the same order was sent and may still take effect
	LoadPacing       HoldReason = "weightStorePacing"   // this leader's share of the weight store's rate is used up
)

// Planner decides the orders that the leader of one pool sends.
type Planner struct {
	orderLifetime time.Duration
	loadLimiter   *rate.Limiter
	leaderSince   time.Time // when this leader took over
	lastOrders    map[yuccaid.Target]sentOrder
}

// sentOrder is the last order sent to a target, and the time from which the order may
// be repeated.
type sentOrder struct {
	order    Order
	repeatAt time.Time
}

// Option changes a setting of a Planner.
type Option func(*Planner)

// WithOrderLifetime sets how long an order may be obeyed; every leader must use the
// same value.
func WithOrderLifetime(orderLifetime time.Duration) Option {
	return func(plan *Planner) { plan.orderLifetime = orderLifetime }
}

// New returns the planner of a leader that took over at the given time.
func New(leaderSince time.Time, options ...Option) *Planner {
	plan := &Planner{
		orderLifetime: DefaultOrderLifetime,
		loadLimiter:   rate.NewLimiter(0, 1),
		leaderSince:   leaderSince,
		lastOrders:    make(map[yuccaid.Target]sentOrder),
	}
	for _, option := range options {
		option(plan)
	}
	plan.SetLoadRate(leaderSince, DefaultLoadsPerMinute, 1)
	return plan
}

// SetLoadRate sets this leader's share of the weight store's rate.
//
// A release note that changes a model's version makes every leader order loads at once.
// The store would then refuse or slow all of the reads, urgent ones too. Each leader
// therefore uses the rate divided by the number of leaders that it knows, itself
// included. In a partition the leaders of each side know fewer leaders and use larger
// shares. The total may therefore reach the rate times the number of sides until the
// partition ends.
func (plan *Planner) SetLoadRate(now time.Time, perMinute float64, leaders int) {
	perSecond := perMinute / time.Minute.Seconds() / float64(max(leaders, 1))
	plan.loadLimiter.SetLimitAt(now, rate.Limit(perSecond))
}

// NextOrder compares a target with its wish and returns the order to send now, or the
// reason for sending none.
func (plan *Planner) NextOrder(now time.Time, number yuccaid.ConfigNumber, name yuccaid.Target, target yuccastate.Target, wish yuccastate.EngineSetup, observed ObservedState) (Order, HoldReason) {
	order, differs := firstDifference(wish, observed)
	if !differs {
		delete(plan.lastOrders, name)
		return Order{}, Settled
	}
	// The target has received an order of a leader with a newer configuration, so it
	// would refuse this leader's order.
	if observed.Fence > number {
		return Order{}, ConfigBehind
	}
	// An earlier leader that was frozen may still have an order on its way to a target
	// that doesn't check fencing numbers; the earlier order would undo this leader's
	// order. No order is obeyed after its lifetime, so send no order until a lifetime
	// has passed since this leader took over.
	if !target.ChecksFence && now.Before(plan.leaderSince.Add(plan.orderLifetime)) {
		return Order{}, WaitForOldOrders
	}
	order.Target = name
	order.Fence = number
	order.ValidFor = plan.orderLifetime
	if last, found := plan.lastOrders[name]; found && now.Before(last.repeatAt) && last.order == order {
		return Order{}, OrderPending
	}
	if order.readsWeights() && !plan.loadLimiter.AllowN(now, 1) {
		return Order{}, LoadPacing
	}
	plan.lastOrders[name] = sentOrder{order: order, repeatAt: now.Add(plan.repeatAfter(order))}
	return order, ""
}

// repeatAfter returns how long to wait for an order to take effect before it is
// repeated.
func (plan *Planner) repeatAfter(order Order) time.Duration {
	if order.readsWeights() {
		return loadTimeout
	}
	return plan.orderLifetime
}

// firstDifference returns the order for the first difference between the wish and the
// target's state. An empty field of the wish matches every state, so a target without a
// configured wish is left as it is.
func firstDifference(wish yuccastate.EngineSetup, observed ObservedState) (Order, bool) {
	if wish.Model != "" && wish.Model != observed.Model {
		return Order{Kind: Load, Model: wish.Model, Version: wish.Version}, true
	}
	if wish.Version != "" && wish.Version != observed.Version {
		return Order{Kind: Version, Model: wish.Model, Version: wish.Version}, true
	}
	for _, adapter := range wish.Adapters {
		if !slices.Contains(observed.Adapters, adapter) {
			return Order{Kind: Adapter, Adapter: adapter}, true
		}
	}
	if wish.Role != "" && wish.Role != observed.Role {
		return Order{Kind: Role, Role: wish.Role}, true
	}
	return Order{}, false
}
