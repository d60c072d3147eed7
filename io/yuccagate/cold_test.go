package yuccagate

import (
	"fmt"
	"testing"
	"time"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

// Guards against the failure that the budgets of a target at all daemons add up to more than the bound, or that leaders of
// its own region, which can reach it without paying for the way, have none.
func TestBudgetsOfATargetAddUpToTheBound(t *testing.T) { testBudgets(t, nil, "b1", 1) }

// Guards against the failure that the leader of an evacuated data centre may send next to nothing, since it has no targets
// and only some leaders may reach each target of the others.
func TestLeadersOfEvacuatedCentresComeFirst(t *testing.T) {
	testBudgets(t, []yuccaid.Centre{"a1"}, "a1", 2)
	testBudgets(t, []yuccaid.Centre{"a1", "c2"}, "a1", 1)
	testBudgets(t, []yuccaid.Centre{"a1", "c2"}, "c2", 1)
}

// testBudgets checks the budgets of targets of one data centre while others are evacuated, and that the leader of the data
// centre first may send each target the given number of requests a second.
func testBudgets(t *testing.T, evacuated []yuccaid.Centre, first yuccaid.Centre, perSecondOfFirst int) {
	t.Helper()
	const daemonsPerCentre = 15
	regions := map[yuccaid.Centre]yuccaid.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
	limit := yuccacold.Limit{Duration: 3 * time.Second, Rate: 5.2}
	perSecond := yuccacold.Bound{Factor: 1.5, Allowance: 5}.PerSecond(limit)
	for number := range 50 {
		entry := yuccaroster.Entry{Target: yuccaid.Target(fmt.Sprint("i-", number)), Centre: "b2"}
		sum, whileCold := 0, 0
		for centre := range regions {
			var candidates []yuccaid.VM
			for number := range daemonsPerCentre {
				candidates = append(candidates, yuccaid.VM(fmt.Sprintf("entry-%s-%d", centre, number)))
			}
			for at, vm := range candidates {
				buds := budgets{
					role:   budgetRole{limit: limit, leads: at == 3, evacuated: evacuated},
					shares: yuccacold.Divide(perSecond, len(regions)-1),
					centre: centre, vm: vm, regions: regions, candidates: candidates,
				}
				budget := buds.of(entry)
				sum += budget.PerSecond
				if budget.WhileCold {
					whileCold++
				}
				if centre == first && at == 3 && budget.PerSecond != perSecondOfFirst {
					t.Errorf("the leader of %s may send %s %d requests a second while %q are evacuated, want %d", first, entry.Target, budget.PerSecond, evacuated, perSecondOfFirst)
				}
			}
		}
		// The leader may be among the daemons that are chosen to decide alone; it has one budget only.
		if sum > perSecond || sum < perSecond-1 {
			t.Errorf("all daemons together may send %s %d requests a second, want %d or one less", entry.Target, sum, perSecond)
		}
		if whileCold != 1 {
			t.Errorf("%d daemons send requests to %s while it is cold", whileCold, entry.Target)
		}
	}
}

// Guards against the failure that targets which are never cold get a budget, and so no requests.
func TestTargetsThatAreNeverColdHaveNoBudget(t *testing.T) {
	buds := budgets{centre: "a1"}
	if budget := buds.of(yuccaroster.Entry{Target: "i-1", Centre: "b1"}); budget != (yuccacold.Budget{}) {
		t.Errorf("got %+v", budget)
	}
}

// Guards against the failure that the smaller side of a data centre that has split sends requests to cold targets, as the
// larger one does.
func TestASmallerSideSendsLittleAndNothingToColdTargets(t *testing.T) {
	limit := yuccacold.Limit{Duration: 3 * time.Second, Rate: 5.2}
	buds := budgets{role: budgetRole{limit: limit, minority: 2}, shares: yuccacold.Divide(12, 0), centre: "a1"}
	want := yuccacold.Budget{Limit: limit, PerSecond: 2}
	if budget := buds.of(yuccaroster.Entry{Target: "i-1", Centre: "a1"}); budget != want {
		t.Errorf("got %+v, want %+v", budget, want)
	}
	if budget := buds.of(yuccaroster.Entry{Target: "i-1", Centre: "b1"}); budget.PerSecond != 0 {
		t.Errorf("got %+v elsewhere", budget)
	}
}
