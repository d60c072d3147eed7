package yuccagate

import (
	"cmp"
	"encoding/json"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
)

// Outlook returns where the request with the given head would go now. It sends nothing and changes nothing.
func (gate *Gate) Outlook(head *http.Request) Outlook {
	var out Outlook
	gate.control.Call(func(now time.Time) { out = gate.outlook(now, head) })
	return out
}

// outlook returns where a request would go; it runs on the control goroutine.
func (gate *Gate) outlook(now time.Time, head *http.Request) Outlook {
	out := Outlook{VM: gate.settings.VM, Centre: gate.settings.Centre, Number: gate.configurationNumber(), PlatformAgeMillis: -1}
	if age := gate.platformAge(now); age >= 0 {
		out.PlatformAgeMillis = age.Milliseconds()
	}
	req := &callerRequest{gate: gate, table: gate.tables.Load(), arrivedAt: now}
	prob := req.wouldRefuse(now, head)
	if req.route != nil {
		out.Route, out.Account, out.Quota = req.route.Name, req.accountName(), gate.quotaStatus(now, req.accountName())
	}
	if prob != nil {
		out.Problem = prob.Error()
		return out
	}
	for _, weighted := range req.route.Pools {
		out.Pools = append(out.Pools, gate.poolOutlook(now, req, weighted.Pool, weighted.Weight))
	}
	return out
}

// wouldRefuse returns why this daemon would refuse the request before a target is chosen, or nil.
func (req *callerRequest) wouldRefuse(now time.Time, head *http.Request) *Problem {
	gate := req.gate
	if gate.refusesAll(now) {
		return leavingProblem()
	}
	if req.table == nil {
		return &Problem{Kind: KindNotReady}
	}
	if prob := req.identify(head); prob != nil {
		return prob
	}
	req.outgoing.Host, req.deadline = head.Host, now.Add(req.timeout())
	if !gate.memory.hasRoom(req.memoryRank(), yuccaspace.RequestOverhead) {
		return &Problem{Kind: KindBusy, Detail: detailMemory}
	}
	if held := gate.quarantine.known.Decide(now, gate.quarantineView(now), req.traits); held.Held {
		return heldProblem(held)
	}
	return nil
}

// quotaStatus returns what an account with a quota has used, nil if it has none.
func (gate *Gate) quotaStatus(now time.Time, account yuccaid.Account) *AccountStatus {
	for _, usage := range gate.ledger.QuotaUsages(now) {
		if usage.Account == account {
			leader, _ := gate.accountLeader(account)
			return &AccountStatus{Account: account, Used: usage.Used, Limit: usage.Limit, Leader: leader.VM}
		}
	}
	return nil
}

// poolOutlook returns where a request to one pool would go.
func (gate *Gate) poolOutlook(now time.Time, req *callerRequest, pool yuccaid.Pool, weight int) PoolOutlook {
	leader, _ := gate.peers.Leader(pool)
	out := PoolOutlook{Pool: pool, Weight: weight, Leader: leader.VM, Leads: leader.Incarnation == gate.incarnation}
	request := req.schedulerRequest(now, time.Time{})
	forecast := gate.deciderOf(now, pool).Forecast(now, request)
	out.Target, out.Refused, out.FetchFrom = forecast.Target, forecast.Refused, forecast.FetchFrom
	out.ExpectedFirstMillis = forecast.ExpectedTimeToFirst.Milliseconds()
	out.Ahead, out.WaitMillis = forecast.Ahead, forecast.EstimatedWait.Milliseconds()
	for _, one := range forecast.Candidates {
		out.Targets = append(out.Targets, TargetOutlook{
			Target: one.Target, Centre: one.Centre, Region: one.Region, Excluded: one.Exclusion, OnTime: one.OnTime,
			ExpectedFirstMillis: one.ExpectedTimeToFirst.Milliseconds(), CostMillis: one.Cost.Milliseconds(),
			Busy: one.Busy, Slots: one.Slots, Held: one.Held,
		})
	}
	out.Targets = append(out.Targets, gate.unusedTargets(&request, pool, out.Targets)...)
	slices.SortFunc(out.Targets, func(a, b TargetOutlook) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// deciderOf returns what decides on a pool's requests at this daemon. If the daemon hasn't served the pool yet, that is a
// leader which knows the targets and nothing else.
func (gate *Gate) deciderOf(now time.Time, pool yuccaid.Pool) *yuccagrant.Leader {
	if sched := gate.schedulers[pool]; sched != nil {
		return sched.local
	}
	lead := yuccagrant.New(mathrand.New(mathrand.NewPCG(0, 0)))
	lead.SetEvacuated(gate.roster.EvacuatedCentres())
	lead.SetTargets(now, gate.targetsOf(&scheduler{pool: pool}))
	return lead
}

// unusedTargets returns the registered targets of a pool that its leader isn't given, with the reason.
func (gate *Gate) unusedTargets(request *yuccagrant.Request, pool yuccaid.Pool, given []TargetOutlook) []TargetOutlook {
	var list []TargetOutlook
	for _, entry := range gate.roster.Targets() {
		known := slices.ContainsFunc(given, func(one TargetOutlook) bool { return one.Target == entry.Target })
		if entry.Pool != pool || known {
			continue
		}
		list = append(list, TargetOutlook{
			Target: entry.Target, Centre: entry.Centre, Region: gate.region(entry.Centre),
			Slots: entry.Slots, Excluded: gate.exclusion(request, entry),
		})
	}
	return list
}

// OutlookHandler responds with the Outlook of a request whose head is that of the handled one, with the method GET.
func (gate *Gate) OutlookHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(gate.Outlook(r))
	})
}
