package yuccaqueue

import "yuccacleat/core/yuccaid"

// load counts waiting requests and their tokens.
type load struct {
	requests int
	tokens   yuccaid.Tokens
}

func (ld *load) add(item *Item) {
	ld.requests++
	ld.tokens += item.Request.Tokens()
}

func (ld *load) remove(item *Item) {
	ld.requests--
	ld.tokens -= item.Request.Tokens()
}

// account is the state of one client account in the queue, over all tiers.
type account struct {
	name         yuccaid.Account
	weight       float64
	blocked      bool
	load         load
	accountTiers []*accountTier
}

// accountTier is the state of one client account in one tier.
//
// virtualService is the service that the account has received in the tier for each unit
// of weight, in seconds. If it is below the tier's floor when a request of the account
// arrives and none was waiting, it is raised to the floor. Otherwise an account that was
// idle for long would be served before all other accounts until it had caught up with them.
type accountTier struct {
	account        *account
	tier           *tier
	virtualService float64
	arrivals       arrivals
	flows          []*flow
}

func (accTier *accountTier) waiting() bool {
	return accTier.arrivals.newest != nil
}

// charge adds served work to the account's virtual service and repositions its flows.
func (accTier *accountTier) charge(seconds float64) {
	accTier.virtualService += seconds / accTier.account.weight
	accTier.reposition()
}

func (accTier *accountTier) reposition() {
	for _, fl := range accTier.flows {
		fl.class.reposition(fl)
	}
}

func (accTier *accountTier) flowFor(cls *class) *flow {
	for _, fl := range accTier.flows {
		if fl.class == cls {
			return fl
		}
	}
	fl := newFlow(accTier, cls)
	accTier.flows = append(accTier.flows, fl)
	return fl
}
