package yuccatrial

import "yuccacleat/core/yuccaplot"

// Loads are the points of a curve, as parts of the capacity.
var Loads = []float64{0.5, 0.75, 1, 1.25, 1.5, 1.75, 2}

// Curve runs every policy on a deployment's everyday scenario at each load.
func Curve(seed uint64, dep Deployment, loads []float64) []Result {
	var results []Result
	for _, load := range loads {
		scn := usual(dep, 0)
		scn.Load = load
		for _, res := range Compare(seed, scn) {
			res.Load = load
			results = append(results, res)
		}
	}
	return results
}

// Measure is one figure of a result, with its name.
type Measure struct {
	Name string
	Of   func(res *Result) float64
}

// Measures are the figures that are drawn.
func Measures() []Measure {
	return []Measure{
		{Name: "goodput, all tiers", Of: (*Result).Goodput},
		{Name: "goodput, urgent", Of: func(res *Result) float64 { return res.TierGoodput(0) }},
		{Name: "wasted prefill by offered", Of: (*Result).WasteShare},
	}
}

// asideTo is the load up to which plots go on, so that names stand right of the lines.
const asideTo = 3.0

// Draw returns a measure against load as SVG, with a line for each policy.
func Draw(results []Result, measure Measure) ([]byte, error) {
	chart := yuccaplot.Chart{Title: measure.Name, Load: "load, as a part of the capacity", Aside: asideTo}
	at := make(map[string]int)
	for i := range results {
		name := results[i].Policy
		if _, seen := at[name]; !seen {
			at[name] = len(chart.Lines)
			chart.Lines = append(chart.Lines, yuccaplot.Line{Name: name})
		}
		line := &chart.Lines[at[name]]
		line.Points = append(line.Points, yuccaplot.Point{Load: results[i].Load, Figure: measure.Of(&results[i])})
	}
	return chart.SVG()
}
