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

func (ld *load) drop(item *Item) {
	ld.requests--
	ld.tokens -= item.Request.Tokens()
}

// account is a client account's part of the queue, over all tiers.
type account struct {
	name    yuccaid.Account
	weight  float64
	blocked bool
	load    load
	shares  []*share
}

// share is what a client account has had of a tier's service.
//
// Virtual is the service received for each unit of weight, in seconds. It never falls
// behind the tier's when the account has nothing waiting, so that silence saves up no
// claim with which an account could later shut the others out.
type share struct {
	account *account
	tier    *tier
	virtual float64
	chain   chain
	flows   []*flow
}

func (sh *share) waiting() bool {
	return sh.chain.newest != nil
}

// charge counts work as served and puts the share's flows in their new places.
func (sh *share) charge(seconds float64) {
	sh.virtual += seconds / sh.account.weight
	sh.seat()
}

func (sh *share) seat() {
	for _, fl := range sh.flows {
		fl.class.seat(fl)
	}
}

func (sh *share) flowIn(cls *class) *flow {
	for _, fl := range sh.flows {
		if fl.class == cls {
			return fl
		}
	}
	fl := newFlow(sh, cls)
	sh.flows = append(sh.flows, fl)
	return fl
}
