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
	// DefaultMaxTries is how many other data centres one request is offered to. Each try
	// costs a round trip of the time that remains; in an overload of all regions more
	// tries would only add messages where there is no room anywhere.
	DefaultMaxTries = 2
	// DefaultMaxPrice is the most that one request may cost in traffic between regions, in
	// the unit of the links' prices. It lets a long rulebook of a megabyte and its
	// answer through at up to 5 a gigabyte, and stops a mistyped price.
	DefaultMaxPrice = 0.01
	// DefaultDelay is assumed one way between regions for which no link is configured.
	DefaultDelay = 30 * time.Millisecond
	// nearDelay is the way between data centres of one region.
	nearDelay = time.Millisecond
	// roundTrips are needed before the first token: offer and grant, then request and
	// answer. A remainder shorter than that can't be met.
	roundTrips = 2
	// bytesPerToken is what a token costs on the way, with its framing.
	bytesPerToken = 8
	gigabyte      = 1 << 30
)

// Planner remembers which data centres have refused lately.
type Planner struct {
	tries   int
	price   float64
	refused map[place]time.Time
}

// place is what one refusal speaks of: another pool or tier may find room there.
type place struct {
	centre yuccaid.Centre
	pool   yuccaid.Pool
	rank   int
}

// Option changes a planner's limits.
type Option func(*Planner)

// WithMaxTries sets how many other data centres one request is offered to.
func WithMaxTries(tries int) Option {
	return func(plan *Planner) { plan.tries = tries }
}

// WithMaxPrice sets the most that one request may cost in traffic.
func WithMaxPrice(price float64) Option {
	return func(plan *Planner) { plan.price = price }
}

// New returns a planner that has heard no refusals.
func New(options ...Option) *Planner {
	plan := &Planner{tries: DefaultMaxTries, price: DefaultMaxPrice, refused: make(map[place]time.Time)}
	for _, option := range options {
		option(plan)
	}
	return plan
}

// Candidate is a data centre to offer a request to.
type Candidate struct {
	Centre yuccaid.Centre
	// Delay is the way there; the leader there is told the remaining time less both
	// round trips, since it can't know how far away the owner is.
	Delay time.Duration
	Price float64
}

// Remaining is the time that the leader at the place has for a request.
func (place Candidate) Remaining(remaining time.Duration) time.Duration {
	return remaining - roundTrips*2*place.Delay
}

// Next returns where to offer a request that its own data centre and those already
// tried have refused, cheapest first, and false when it has to be given up.
//
// It is made for a burst or a skewed demand in one data centre while others have room.
// The harm it prevents is an urgent request refused beside idle engines. Its limits:
// at most some tries, a bound on the price, no offer where the way alone takes the
// time that remains, and none where the same tier was refused until the time named.
func (plan *Planner) Next(now time.Time, state *yuccastate.State, ask yuccaqueue.Request, tried []yuccaid.Centre) (Candidate, bool) {
	if len(tried) >= plan.tries {
		return Candidate{}, false
	}
	var places []Candidate
	for _, centre := range centresOf(state, ask) {
		if centre == ask.Centre || slices.Contains(tried, centre) {
			continue
		}
		candidate := reach(state, ask, centre)
		if plan.worth(now, ask, candidate) {
			places = append(places, candidate)
		}
	}
	if len(places) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(places, compare), true
}

// MarkRefused notes that a data centre had no room for a tier, and until when.
func (plan *Planner) MarkRefused(now time.Time, centre yuccaid.Centre, ask yuccaqueue.Request, back time.Duration) {
	plan.forget(now)
	plan.refused[place{centre, ask.Pool, ask.Rank}] = now.Add(back)
}

func (plan *Planner) worth(now time.Time, ask yuccaqueue.Request, candidate Candidate) bool {
	if candidate.Price > plan.price || candidate.Remaining(ask.Remaining) <= 0 {
		return false
	}
	return !now.Before(plan.refused[place{candidate.Centre, ask.Pool, ask.Rank}])
}

// forget drops what no longer holds; the map has an entry for each centre, pool and
// tier at most.
func (plan *Planner) forget(now time.Time) {
	for key, until := range plan.refused {
		if !now.Before(until) {
			delete(plan.refused, key)
		}
	}
}

// centresOf returns the data centres with a target that the request may use.
func centresOf(state *yuccastate.State, ask yuccaqueue.Request) []yuccaid.Centre {
	var centres []yuccaid.Centre
	for name, target := range state.Targets {
		if target.Pool == ask.Pool && !slices.Contains(centres, target.Centre) && state.Allowed(ask.Account, name) {
			centres = append(centres, target.Centre)
		}
	}
	return centres
}

// reach says how far a data centre is and what the request's traffic costs. The
// answer is paid for where it leaves, the prompt where the owner is.
func reach(state *yuccastate.State, ask yuccaqueue.Request, centre yuccaid.Centre) Candidate {
	home, there := state.Centres[ask.Centre].Region, state.Centres[centre].Region
	if home == there {
		return Candidate{Centre: centre, Delay: nearDelay}
	}
	delay := max(state.Links[home].Delay, state.Links[there].Delay)
	if delay == 0 {
		delay = DefaultDelay
	}
	price := cost(ask.Prompt, state.Links[home]) + cost(ask.Answer, state.Links[there])
	return Candidate{Centre: centre, Delay: delay, Price: price}
}

func cost(tokens yuccaid.Tokens, link yuccastate.Link) float64 {
	return float64(tokens*bytesPerToken) / gigabyte * link.PricePerGigabyte
}

// compare prefers the cheaper, then the nearer; names break ties alike everywhere.
func compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Delay, b.Delay), cmp.Compare(a.Centre, b.Centre))
}
