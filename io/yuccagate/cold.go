package yuccagate

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

// budgetsCheckInterval is the time between two checks of what budgets depend on besides the leader, and of which targets
// are cold.
const budgetsCheckInterval = 200 * time.Millisecond

// budgetRole is what this daemon's budgets for the targets of a pool depend on. It is the zero value for a pool whose
// targets are never cold.
type budgetRole struct {
	limit yuccacold.Limit
	// leads reports whether this daemon leads the pool and sees most of its data centre's daemons.
	leads bool
	// minority is how many requests a second this daemon may send each target of its data centre if it leads the pool
	// and sees no more than half of the daemons.
	minority int
	// candidates is a hash of the VMs of the data centre that may run a daemon.
	candidates uint64
	// evacuated lists the data centres whose leaders get the shares of other data centres.
	evacuated []yuccaid.Centre
}

// equal reports whether two roles give the same budgets.
func (role budgetRole) equal(other budgetRole) bool {
	return role.limit == other.limit && role.leads == other.leads && role.minority == other.minority &&
		role.candidates == other.candidates && slices.Equal(role.evacuated, other.evacuated)
}

// budgetRoleOf returns what this daemon's budgets for a pool's targets depend on now.
func (gate *Gate) budgetRoleOf(now time.Time, sched *scheduler) budgetRole {
	limit := gate.coldLimitOf(sched.pool)
	if !limit.Applies() {
		return budgetRole{}
	}
	role := budgetRole{limit: limit, candidates: gate.candidatesDigest(), evacuated: gate.evacuations.Preferred(now, gate.settings.Centre)}
	switch {
	case !sched.leads:
	case gate.seesMostDaemons(now):
		role.leads = true
	default:
		role.minority = gate.sharesOf(limit).Minority(len(gate.peers.Live(gate.settings.Centre)), gate.expectedDaemons(now))
	}
	return role
}

// candidatesDigest returns a hash of the VMs of this data centre that may run a daemon.
func (gate *Gate) candidatesDigest() uint64 {
	digest := xxhash.New()
	for _, vm := range gate.candidateVMs() {
		digest.WriteString(string(vm))
		digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// sharesOf returns how the bound of a pool's targets is divided.
func (gate *Gate) sharesOf(limit yuccacold.Limit) yuccacold.Shares {
	return yuccacold.Divide(gate.settings.Bounds.Cold.PerSecond(limit), max(len(gate.settings.Regions)-1, 0))
}

// checkBudgets configures a scheduler anew if this daemon's budgets for its targets have changed, and logs which targets are
// cold.
func (gate *Gate) checkBudgets(now time.Time, sched *scheduler) {
	if now.Sub(sched.budgetsCheckedAt) < budgetsCheckInterval {
		return
	}
	sched.budgetsCheckedAt = now
	if !gate.budgetRoleOf(now, sched).equal(sched.budgetRole) {
		gate.configure(now, sched)
	}
	if sched.leads && sched.budgetRole.limit.Applies() {
		gate.logColdTargets(sched, sched.local.ColdTargets(now))
	}
}

// logColdTargets logs which targets of this data centre are cold if that has changed.
func (gate *Gate) logColdTargets(sched *scheduler, cold []yuccaid.Target) {
	if slices.Equal(cold, sched.coldTargets) {
		return
	}
	sched.coldTargets = cold
	listed := cold[:min(len(cold), maxLoggedTargets)]
	gate.log.stateChange("cold targets", "pool", sched.pool, "count", len(cold), "targets", listed, "rate", sched.budgetRole.limit.Rate)
}

// coldLimitOf returns what is configured of a pool's cold targets.
func (gate *Gate) coldLimitOf(pool yuccaid.Pool) yuccacold.Limit {
	if table := gate.tables.Load(); table != nil {
		if configured, found := table.Pool(pool); found {
			return configured.Cold
		}
	}
	return yuccacold.Limit{}
}

// seesMostDaemons reports whether this daemon sees more than half of its data centre's daemons, or half of them with the
// one whose name is first. In a data centre that has split, at most one leader does.
func (gate *Gate) seesMostDaemons(now time.Time) bool {
	live, expected := gate.peers.Live(gate.settings.Centre), gate.expectedDaemons(now)
	if 2*len(live) != expected {
		return 2*len(live) > expected
	}
	candidates := gate.peers.Candidates(gate.settings.Centre)
	for _, member := range live {
		if member.VM == candidates[0].VM {
			return true
		}
	}
	return false
}

// candidateVMs returns the VMs of this data centre that may run a daemon.
func (gate *Gate) candidateVMs() []yuccaid.VM {
	var vms []yuccaid.VM
	for _, listing := range gate.peers.Candidates(gate.settings.Centre) {
		vms = append(vms, listing.VM)
	}
	return vms
}

// budgets decides what this daemon may send to the targets of one pool.
type budgets struct {
	role   budgetRole
	shares yuccacold.Shares
	centre yuccaid.Centre
	vm     yuccaid.VM
	// regions holds the region of each data centre, and candidates this data centre's VMs.
	regions    map[yuccaid.Centre]yuccaid.Region
	candidates []yuccaid.VM
}

// budgetsOf returns the budgets for a pool's targets.
func (gate *Gate) budgetsOf(sched *scheduler) budgets {
	buds := budgets{role: sched.budgetRole, centre: gate.settings.Centre, vm: gate.settings.VM, regions: gate.settings.Regions}
	if buds.role.limit.Applies() {
		buds.shares = gate.sharesOf(buds.role.limit)
		buds.candidates = gate.candidateVMs()
	}
	return buds
}

// of returns the budget for one target.
func (buds *budgets) of(entry yuccaroster.Entry) yuccacold.Budget {
	budget := yuccacold.Budget{Limit: buds.role.limit}
	switch {
	case !buds.role.limit.Applies():
	case entry.Centre != buds.centre:
		if buds.role.leads {
			budget.PerSecond = buds.otherLeader(entry)
		}
	case buds.role.leads:
		budget.PerSecond, budget.WhileCold = buds.shares.Leader, true
	case buds.role.minority > 0:
		budget.PerSecond = buds.role.minority
	case yuccacold.AmongFirst(buds.shares.Alone, entry.Target, buds.vm, buds.candidates):
		budget.PerSecond = 1
	}
	return budget
}

// otherLeader returns how many requests a second the leader of this data centre may send to a target of another one.
// Leaders of the target's own region come before those of other regions, since traffic between regions is billed by volume.
func (buds *budgets) otherLeader(entry yuccaroster.Entry) int {
	var near, far []yuccaid.Centre
	for centre, region := range buds.regions {
		switch {
		case centre == entry.Centre || slices.Contains(buds.role.evacuated, centre):
		case region == buds.regions[entry.Centre]:
			near = append(near, centre)
		default:
			far = append(far, centre)
		}
	}
	return buds.shares.OtherLeader(entry.Target, buds.centre, buds.role.evacuated, near, far)
}

// coldStatement returns what a target has registered about being cold.
func coldStatement(entry yuccaroster.Entry) yuccacold.Statement {
	return yuccacold.Statement{
		Revision: uint64(entry.Revision), Known: entry.StatesWarmAfter, Remaining: entry.WarmAfter, StartMillis: entry.StartMillis,
	}
}
