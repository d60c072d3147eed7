package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccagate"
)

// maxAlternatives bounds the targets that are shown of those that could have been chosen.
const maxAlternatives = 5

// writeOutlooks writes where a request would go, for each data centre.
func writeOutlooks(out io.Writer, outlooks []yuccagate.Outlook) {
	byCentre := make(map[yuccaid.Centre][]yuccagate.Outlook)
	for _, one := range outlooks {
		byCentre[one.Centre] = append(byCentre[one.Centre], one)
	}
	for _, centre := range slices.Sorted(maps.Keys(byCentre)) {
		list := byCentre[centre]
		slices.SortFunc(list, func(a, b yuccagate.Outlook) int { return cmp.Compare(a.VM, b.VM) })
		fmt.Fprintf(out, "%s:\n", centre)
		writeProblems(out, list)
		writePools(out, list)
	}
}

// writeProblems writes which daemons would refuse the request themselves.
func writeProblems(out io.Writer, list []yuccagate.Outlook) {
	vms := make(map[string][]string)
	for _, one := range list {
		if one.Problem != "" {
			vms[one.Problem] = append(vms[one.Problem], string(one.VM))
		}
	}
	for _, problem := range slices.Sorted(maps.Keys(vms)) {
		fmt.Fprintf(out, "  refused by %s: %s\n", strings.Join(vms[problem], " "), problem)
	}
}

// writePools writes, for each pool, what its leader would decide, or what the first daemon of the data centre would if the
// leader didn't answer.
func writePools(out io.Writer, list []yuccagate.Outlook) {
	deciders := make(map[yuccaid.Pool]yuccagate.Outlook)
	pools := make(map[yuccaid.Pool]yuccagate.PoolOutlook)
	for _, one := range list {
		for _, pool := range one.Pools {
			if before, found := pools[pool.Pool]; !found || pool.Leads && !before.Leads {
				deciders[pool.Pool], pools[pool.Pool] = one, pool
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		writePool(out, deciders[name], pools[name])
	}
}

// writePool writes what the decider, a pool's leader or another daemon, answers about the pool.
func writePool(out io.Writer, decider yuccagate.Outlook, pool yuccagate.PoolOutlook) {
	role := "which leads the pool"
	if !pool.Leads {
		role = fmt.Sprintf("which knows only its own runs; %s leads the pool", cmp.Or(string(pool.Leader), "nobody known"))
	}
	fmt.Fprintf(out, "  pool %s, decided by %s, %s\n", pool.Pool, decider.VM, role)
	fmt.Fprintf(out, "    route %s, configuration %d, platform heard %s\n", decider.Route, decider.Number, lastHeard(decider.PlatformAgeMillis))
	if decider.Account != "" {
		fmt.Fprintf(out, "    account %s%s\n", decider.Account, quotaText(decider.Quota))
	}
	fmt.Fprintf(out, "    %s\n", decisionText(pool))
	writeAlternatives(out, pool)
	writeExcluded(out, pool)
}

// lastHeard tells when a daemon last heard from the platform.
func lastHeard(ageMillis int64) string {
	if ageMillis < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ageMillis)
}

// quotaText tells what an account has used of its quota.
func quotaText(quota *yuccagate.AccountStatus) string {
	if quota == nil {
		return ", without a quota"
	}
	return fmt.Sprintf(", %d of %d used in its quota's window", quota.Used, quota.Limit)
}

// decisionText tells the decision on a pool's request.
func decisionText(pool yuccagate.PoolOutlook) string {
	switch {
	case pool.Refused != "":
		return fmt.Sprintf("it would be refused: %s", pool.Refused)
	case pool.Target == "":
		return fmt.Sprintf("it would wait behind %d others, which take %d ms", pool.Ahead, pool.WaitMillis)
	}
	text := fmt.Sprintf("it would go to %s, first event after %d ms", pool.Target, pool.ExpectedFirstMillis)
	if pool.FetchFrom != "" {
		text += fmt.Sprintf(", with parts fetched from %s", pool.FetchFrom)
	}
	return text
}

// writeAlternatives writes the targets that may be used now, the best one first.
func writeAlternatives(out io.Writer, pool yuccagate.PoolOutlook) {
	usable := slices.DeleteFunc(slices.Clone(pool.Targets), func(one yuccagate.TargetOutlook) bool {
		return one.Excluded != yuccaallow.Allowed && one.Target != pool.Target
	})
	slices.SortStableFunc(usable, compareTargets)
	for _, one := range usable[:min(len(usable), maxAlternatives)] {
		late := ""
		if !one.OnTime {
			late = ", late"
		}
		fmt.Fprintf(out, "    usable: %s in %s, cost %d ms, first event after %d ms%s, %d of %d slots busy, %d tokens held\n",
			one.Target, one.Centre, one.CostMillis, one.ExpectedFirstMillis, late, one.Busy, one.Slots, one.Held)
	}
	if more := len(usable) - maxAlternatives; more > 0 {
		fmt.Fprintf(out, "    usable: %d more\n", more)
	}
}

// compareTargets orders targets as leaders prefer them: those that are on time first, then those with the lowest cost.
func compareTargets(a, b yuccagate.TargetOutlook) int {
	switch {
	case a.OnTime && !b.OnTime:
		return -1
	case b.OnTime && !a.OnTime:
		return 1
	}
	return cmp.Compare(a.CostMillis, b.CostMillis)
}

// writeExcluded writes the targets that can't be used, by reason.
func writeExcluded(out io.Writer, pool yuccagate.PoolOutlook) {
	targets := make(map[yuccaallow.Exclusion][]string)
	for _, one := range pool.Targets {
		if one.Excluded != yuccaallow.Allowed && one.Target != pool.Target {
			targets[one.Excluded] = append(targets[one.Excluded], string(one.Target))
		}
	}
	for _, why := range slices.Sorted(maps.Keys(targets)) {
		fmt.Fprintf(out, "    excluded, %s: %s\n", why, strings.Join(targets[why], " "))
	}
}
