package yuccashift

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/core/yuccastate"
)

const (
	// DefaultMaxOffers is the number of other data centres that one request is offered to. Each
	// offer costs a round trip out of the request's remaining time, and when all regions are
	// overloaded, more offers would only add messages.
	DefaultMaxOffers = 2
	// DefaultMaxPrice is the highest price of one request's traffic between regions, in the unit
	// of the links' prices. It admits a prompt of a megabyte with its answer at a price of up to 5
	// per gigabyte, and rejects a mistyped price.
	DefaultMaxPrice = 0.01
	// DefaultDelay is the one-way delay between regions that have no configured link.
	DefaultDelay = 30 * time.Millisecond
	// sameRegionDelay is the one-way delay between data centres of one region.
	sameRegionDelay = time.Millisecond
	// roundTrips is the number of round trips before the first token: offer and grant, then
	// request and answer. A request with less remaining time can't be answered in time.
	roundTrips = 2
	// bytesPerToken is the size of a token on the wire, with its framing.
	bytesPerToken = 8
	gigabyte      = 1 << 30
)

// Planner selects data centres and keeps track of those that have recently refused requests.
type Planner struct {
	maxTries int
	maxPrice float64
	// refusedUntil holds the times until which Next skips a data centre for a pool and rank.
	refusedUntil map[refusalKey]time.Time
}

// refusalKey identifies what a refusal applies to. The same data centre may still accept requests
// of another pool or rank.
type refusalKey struct {
	centre yuccaid.Centre
	pool   yuccaid.Pool
	rank   int
}

// Option configures a Planner.
type Option func(*Planner)

// WithMaxOffers sets the number of other data centres that one request is offered to.
func WithMaxOffers(maxTries int) Option {
	return func(plan *Planner) { plan.maxTries = maxTries }
}

// WithMaxPrice sets the highest price of one request's traffic between regions.
func WithMaxPrice(maxPrice float64) Option {
	return func(plan *Planner) { plan.maxPrice = maxPrice }
}

// New returns a Planner without any recorded refusals.
func New(options ...Option) *Planner {
	plan := &Planner{maxTries: DefaultMaxOffers, maxPrice: DefaultMaxPrice, refusedUntil: make(map[refusalKey]time.Time)}
	for _, option := range options {
		option(plan)
	}
	return plan
}

// Candidate is a data centre that a request can be offered to.
type Candidate struct {
	Centre yuccaid.Centre
	// Delay is the one-way delay to the data centre.
	Delay time.Duration
	// Price is the price of the request's traffic between regions, in the unit of the links' prices.
	Price float64
}

// Remaining returns the time that the candidate's leader has for a request. This is the time that the
// request's owner has left, minus the round trips between the owner and the candidate. The owner
// subtracts the round trips, because the leader doesn't know the delay to the owner.
func (candidate Candidate) Remaining(remaining time.Duration) time.Duration {
	return remaining - roundTrips*2*candidate.Delay
}

// Next returns the cheapest data centre to offer a request to, after the request's own data
// centre and those in tried have refused it. It returns false if there is none.
//
// Shifting is meant for a burst or for skewed demand, where one data centre is overloaded while
// others have free slots. Without shifting, an urgent request would be refused although engines in
// other data centres are idle. A request is offered to a limited number of data centres. Next skips
// a data centre if the request's traffic to it would cost more than the highest price, or if the
// round trips to it would take all of the request's remaining time. Next also skips a data centre
// that has refused a request of the same pool and rank, until it may be retried (see MarkRefused).
func (plan *Planner) Next(now time.Time, state *yuccastate.State, request yuccaqueue.Request, tried []yuccaid.Centre) (Candidate, bool) {
	if len(tried) >= plan.maxTries {
		return Candidate{}, false
	}
	var candidates []Candidate
	for _, centre := range centresOf(state, request) {
		if centre == request.Centre || slices.Contains(tried, centre) {
			continue
		}
		candidate := candidateFor(state, request, centre)
		if plan.acceptable(now, request, candidate) {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(candidates, compareCandidates), true
}

// MarkRefused records that a data centre has refused a request, so that Next doesn't return it
// for the same pool and rank before retryAfter has passed.
func (plan *Planner) MarkRefused(now time.Time, centre yuccaid.Centre, request yuccaqueue.Request, retryAfter time.Duration) {
	plan.removeExpired(now)
	plan.refusedUntil[refusalKey{centre, request.Pool, request.Rank}] = now.Add(retryAfter)
}

func (plan *Planner) acceptable(now time.Time, request yuccaqueue.Request, candidate Candidate) bool {
	if candidate.Price > plan.maxPrice || candidate.Remaining(request.Remaining) <= 0 {
		return false
	}
	return !now.Before(plan.refusedUntil[refusalKey{candidate.Centre, request.Pool, request.Rank}])
}

// removeExpired removes the refusals that have expired. The map has at most one entry for each
// data centre, pool and rank.
func (plan *Planner) removeExpired(now time.Time) {
	for key, expires := range plan.refusedUntil {
		if !now.Before(expires) {
			delete(plan.refusedUntil, key)
		}
	}
}

// centresOf returns the data centres that have a target which the request may use.
func centresOf(state *yuccastate.State, request yuccaqueue.Request) []yuccaid.Centre {
	var centres []yuccaid.Centre
	for name, target := range state.Targets {
		if target.Pool == request.Pool && !slices.Contains(centres, target.Centre) && state.Allowed(request.Account, name) {
			centres = append(centres, target.Centre)
		}
	}
	return centres
}

// candidateFor returns a data centre with its delay and the price of the request's traffic to it
// and back. The prompt is charged in the owner's region and the answer in the target's region,
// because each region charges for the traffic that leaves it. The delay between two regions is
// the longer of the delays of their links, or DefaultDelay if neither link has a delay.
func candidateFor(state *yuccastate.State, request yuccaqueue.Request, centre yuccaid.Centre) Candidate {
	localRegion, remoteRegion := state.Centres[request.Centre].Region, state.Centres[centre].Region
	if localRegion == remoteRegion {
		return Candidate{Centre: centre, Delay: sameRegionDelay}
	}
	delay := max(state.Links[localRegion].Delay, state.Links[remoteRegion].Delay)
	if delay == 0 {
		delay = DefaultDelay
	}
	price := trafficPrice(request.Prompt, state.Links[localRegion]) + trafficPrice(request.Answer, state.Links[remoteRegion])
	return Candidate{Centre: centre, Delay: delay, Price: price}
}

// trafficPrice returns the price of sending a number of tokens out of the region of a link.
func trafficPrice(tokens yuccaid.Tokens, link yuccastate.Link) float64 {
	return float64(tokens*bytesPerToken) / gigabyte * link.PricePerGigabyte
}

// compareCandidates orders by price, then by delay. Names break ties, so that all daemons get the
// same order.
func compareCandidates(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Delay, b.Delay), cmp.Compare(a.Centre, b.Centre))
}
