package yuccapool

import (
	"slices"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
	"yuccacleat/core/yuccaqueue"
)

// allTargets is the index of the target set that holds every target of the pool.
const allTargets = 0

// Configure applies a configuration. Waiting requests whose account may no longer use
// any target are refused; running requests continue on their targets.
func (lead *Leader) Configure(now time.Time, config PoolConfig) Decisions {
	var dec Decisions
	lead.config = config
	lead.fleet.Configure(config.Policy, config.PlainService, config.Targets)
	lead.targetSets = []*yuccaplace.TargetSet{lead.fleet.NewTargetSet(nil)}
	lead.configureAccounts(now, config)
	lead.updateParams(now, &dec)
	lead.serve(now, &dec)
	return dec
}

func (lead *Leader) configureAccounts(now time.Time, config PoolConfig) {
	indexByKey := map[string]int{"": allTargets}
	for _, acc := range lead.accounts {
		acc.targetSet = allTargets
		acc.limits = Limits{}
	}
	for name, accConfig := range config.Accounts {
		acc := lead.account(name)
		acc.targetSet = lead.targetSetIndex(indexByKey, accConfig.Targets)
		acc.limits = accConfig.Limits
		acc.requests.setRate(now, accConfig.Limits.RequestsPerSecond)
		acc.tokens.setRate(now, float64(accConfig.Limits.TokensPerSecond))
		lead.queue.SetWeight(name, accConfig.Weight)
	}
	for name, acc := range lead.accounts {
		lead.queue.SetBlocked(name, acc.atRunningLimit())
	}
}

// targetSetIndex returns the index in Leader.targetSets of the set of the given targets.
// It adds the set to Leader.targetSets unless an earlier account has the same targets. A key
// of indexByKey is the sorted names of a set's targets, joined by spaces.
func (lead *Leader) targetSetIndex(indexByKey map[string]int, targets []yuccaid.Target) int {
	names := make([]string, 0, len(targets))
	for _, tgt := range targets {
		names = append(names, string(tgt))
	}
	slices.Sort(names)
	key := strings.Join(names, " ")
	index, found := indexByKey[key]
	if !found {
		index = len(lead.targetSets)
		indexByKey[key] = index
		lead.targetSets = append(lead.targetSets, lead.fleet.NewTargetSet(targets))
	}
	return index
}

// updateParams recomputes the scheduling parameters of every waiting request. Unless the
// leader gathers, it refuses those whose account may no longer use any target.
func (lead *Leader) updateParams(now time.Time, dec *Decisions) {
	var items []*yuccaqueue.Item
	lead.queue.ForEach(func(item *yuccaqueue.Item) { items = append(items, item) })
	for _, item := range items {
		acc := lead.account(item.Request.Account)
		if !lead.gathering(now) && !lead.targetSets[acc.targetSet].AnyAccepting() {
			lead.queue.Remove(item)
			lead.addRefusal(dec, &item.Request, yuccaqueue.ReasonNoTarget, 0)
			continue
		}
		shape := lead.shape(&item.Request, item.Deadline)
		lead.queue.UpdateParams(item, lead.params(now, acc, &shape))
	}
	lead.queue.PruneClasses()
	lead.queue.Unpark(func(yuccaqueue.TargetSet) bool { return true })
}
