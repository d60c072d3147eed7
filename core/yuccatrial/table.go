package yuccatrial

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Policies returns the baselines and the design, each fresh for one run.
func Policies(seed uint64) []Policy {
	return []Policy{
		RoundRobin(), LeastOutstanding(), PowerOfTwo(seed), NoLeader(seed), LeadersAtHome(seed), Leaders(seed),
	}
}

// Compare runs every policy on a scenario and puts the bound last.
func Compare(seed uint64, scenario Scenario) []Result {
	var results []Result
	for _, policy := range Policies(seed) {
		results = append(results, Run(seed, scenario, policy))
	}
	return append(results, Bound(seed, scenario))
}

const tableHead = "scenario\tpolicy\turgent\tnormal\tbulk\tall\tof bound: urgent\tall\ttold\tat\tshed\tfair" +
	"\twaste\tevicted\telsewhere\tcancelled\tdropped\tmessages\tbytes\tcross\tback\t"

// Table sets results out as text. Shares are in per cent: told is the share of the
// not served that were told before the deadline, at the part of their time that had
// passed then, waste is of the offered prompt tokens that no other shares, back is the share of those who
// came back when told to that were served. Causes of waste are in thousands of tokens,
// messages and bytes are control traffic for each request, cross is in megabytes.
func Table(results []Result) string {
	var text strings.Builder
	tab := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, tableHead)
	for i := range results {
		fmt.Fprintln(tab, row(&results[i], boundOf(results, results[i].Scenario)))
	}
	tab.Flush()
	return text.String()
}

// figure is a measure of which more is better, with its name.
type figure struct {
	name string
	of   func(res *Result) float64
}

// judged are the figures that the leaders are to be better in than every baseline.
var judged = []figure{
	{"urgent goodput", func(res *Result) float64 { return res.TierGoodput(0) }},
	{"goodput", (*Result).Goodput},
	{"waste", func(res *Result) float64 { return -res.WasteShare() }},
}

// Losses names, a line each, the figures in which a policy of another kind is better
// than the leaders by more than the tolerance, a part of the whole.
func Losses(results []Result, tolerance float64) string {
	var text strings.Builder
	for i := range results {
		lead := &results[i]
		if lead.Policy != leadersName {
			continue
		}
		for j := range results {
			other := &results[j]
			if other.Scenario != lead.Scenario || other.Seed != lead.Seed || other.Policy == BoundName {
				continue
			}
			for _, fig := range judged {
				if behind := fig.of(other) - fig.of(lead); behind > tolerance {
					fmt.Fprintf(&text, "%s, seed %d: %s of %s is better by %s\n",
						lead.Scenario, lead.Seed, fig.name, other.Policy, percent(behind))
				}
			}
		}
	}
	return text.String()
}

func boundOf(results []Result, scenario string) *Result {
	for i := range results {
		if results[i].Scenario == scenario && results[i].Policy == BoundName {
			return &results[i]
		}
	}
	return nil
}

func row(res, bound *Result) string {
	cells := []string{res.Scenario, res.Policy}
	for rank := range 3 {
		cells = append(cells, percent(res.TierGoodput(rank)))
	}
	cells = append(cells, percent(res.Goodput()))
	if bound == nil {
		bound = res
	}
	cells = append(cells, percent(res.TierGoodput(0)/bound.TierGoodput(0)), percent(res.Goodput()/bound.Goodput()))
	if res.Policy == BoundName {
		return strings.Join(cells, "\t") + "\t"
	}
	cells = append(
		cells, percent(res.Told), percent(res.ToldAt), fmt.Sprint(res.Shed), percent(res.Fairness), percent(res.WasteShare()),
		thousands(int(res.Waste.Evicted)), thousands(int(res.Waste.Elsewhere)),
		thousands(int(res.Waste.Cancelled)), thousands(int(res.Waste.Dropped)),
		perRequest(res.Messages, res.Offered()), perRequest(int(res.Bytes), res.Offered()),
		fmt.Sprintf("%.1f", float64(res.CrossBytes)/1e6), fmt.Sprintf("%d/%d", res.Back.Served, res.Back.Came),
	)
	return strings.Join(cells, "\t") + "\t"
}

func percent(share float64) string { return fmt.Sprintf("%.1f", 100*share) }

func thousands(n int) string { return fmt.Sprintf("%.0f", float64(n)/1000) }

func perRequest(sum, of int) string { return fmt.Sprintf("%.1f", float64(sum)/float64(max(of, 1))) }
