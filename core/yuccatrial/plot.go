package yuccatrial

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

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

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch

	// The legend stands right of the highest load, where no line runs.
	legendFrom  = 2.0
	legendRoom  = 1.0
	legendInset = 8 * vg.Millimeter
)

// Draw returns a measure against load as SVG, with a line for each policy.
func Draw(results []Result, measure Measure) ([]byte, error) {
	plt := plot.New()
	plt.Title.Text = measure.Name
	plt.X.Label.Text = "load, as a part of the capacity"
	plt.Y.Min = 0
	plt.X.Max = legendFrom + legendRoom
	plt.Legend.Top = true
	plt.Legend.XOffs = -legendInset
	for i, name := range policyNames(results) {
		line, err := plotter.NewLine(points(results, name, measure))
		if err != nil {
			return nil, fmt.Errorf("draw %s: %w", name, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		plt.Add(line)
		plt.Legend.Add(name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	plt.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("write plot: %w", err)
	}
	return out.Bytes(), nil
}

func policyNames(results []Result) []string {
	var names []string
	seen := map[string]bool{}
	for _, res := range results {
		if !seen[res.Policy] {
			names = append(names, res.Policy)
		}
		seen[res.Policy] = true
	}
	return names
}

func points(results []Result, policy string, measure Measure) plotter.XYs {
	var xys plotter.XYs
	for i := range results {
		if results[i].Policy == policy {
			xys = append(xys, plotter.XY{X: results[i].Load, Y: measure.Of(&results[i])})
		}
	}
	return xys
}
