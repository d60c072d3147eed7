package yuccapool

import (
	"slices"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
	"yuccacleat/core/yuccaqueue"
)

// reachAll is the number of the set that holds every target of the pool.
const reachAll = 0

// Configure takes over a configuration. Waiting requests whose account may use no
// target any more are refused; runs go on where they are.
func (lead *Leader) Configure(now time.Time, view PoolConfig) Decisions {
	var dec Decisions
	lead.view = view
	lead.fleet.Configure(view.Policy, view.PlainService, view.Targets)
	lead.reaches = []*yuccaplace.TargetSet{lead.fleet.NewTargetSet(nil)}
	lead.configureAccounts(now, view)
	lead.reclass(now, &dec)
	lead.serve(now, &dec)
	return dec
}

func (lead *Leader) configureAccounts(now time.Time, view PoolConfig) {
	numbers := map[string]int{"": reachAll}
	for _, acc := range lead.accounts {
		acc.reach = reachAll
		acc.limits = Limits{}
	}
	for name, conf := range view.Accounts {
		acc := lead.account(name)
		acc.reach = lead.number(numbers, conf.Targets)
		acc.limits = conf.Limits
		acc.requests.set(now, conf.Limits.RequestsPerSecond)
		acc.tokens.set(now, float64(conf.Limits.TokensPerSecond))
		lead.queue.SetWeight(name, conf.Weight)
	}
	for name, acc := range lead.accounts {
		lead.queue.SetBlocked(name, acc.full())
	}
}

func (lead *Leader) number(numbers map[string]int, targets []yuccaid.Target) int {
	names := make([]string, 0, len(targets))
	for _, tgt := range targets {
		names = append(names, string(tgt))
	}
	slices.Sort(names)
	key := strings.Join(names, " ")
	at, found := numbers[key]
	if !found {
		at = len(lead.reaches)
		numbers[key] = at
		lead.reaches = append(lead.reaches, lead.fleet.NewTargetSet(targets))
	}
	return at
}

// reclass gives every waiting request the terms that follow from the configuration.
func (lead *Leader) reclass(now time.Time, dec *Decisions) {
	var items []*yuccaqueue.Item
	lead.queue.ForEach(func(item *yuccaqueue.Item) { items = append(items, item) })
	for _, item := range items {
		acc := lead.account(item.Request.Account)
		if !lead.gathering(now) && !lead.reaches[acc.reach].AnyAccepting() {
			lead.queue.Remove(item)
			lead.refuse(dec, &item.Request, yuccaqueue.ReasonNoTarget, 0)
			continue
		}
		shape := lead.shape(&item.Request, item.Deadline)
		lead.queue.UpdateParams(item, lead.terms(now, acc, &shape))
	}
	lead.queue.PruneClasses()
	lead.queue.Unpark(func(yuccaqueue.TargetSet) bool { return true })
}
