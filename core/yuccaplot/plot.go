package yuccaplot

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

const (
	width  = 6 * vg.Inch
	height = 4 * vg.Inch
	// inset is the distance of the legend from the edge of the plot.
	inset = 8 * vg.Millimeter
)

// Point is one figure at one load.
type Point struct {
	Load, Figure float64
}

// Line is one of the things that are compared, as figures ordered by load.
type Line struct {
	Name   string
	Points []Point
}

// Chart holds lines that are drawn together. The axis of the figures begins at zero.
type Chart struct {
	Title string
	// Load is the label of the load's axis.
	Load  string
	Lines []Line
	// Highest is the end of the axis of the figures. If it is zero, the axis ends at the highest figure.
	Highest float64
	// Aside is the end of the load's axis if the legend is to the right of all lines. If it is zero,
	// the legend is at the lower left.
	Aside float64
	// Dots reports whether each point is marked.
	Dots bool
}

// SVG returns the chart as SVG.
func (chart Chart) SVG() ([]byte, error) {
	plt := plot.New()
	plt.Title.Text = chart.Title
	plt.X.Label.Text = chart.Load
	plt.Y.Min = 0
	if chart.Highest > 0 {
		plt.Y.Max = chart.Highest
	}
	if chart.Aside > 0 {
		plt.X.Max = chart.Aside
		plt.Legend.Top = true
		plt.Legend.XOffs = -inset
	} else {
		plt.Legend.Left = true
	}
	for i, line := range chart.Lines {
		if err := chart.add(plt, i, line); err != nil {
			return nil, fmt.Errorf("draw %s: %w", line.Name, err)
		}
	}
	canvas := vgsvg.New(width, height)
	plt.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return nil, fmt.Errorf("write plot: %w", err)
	}
	return svg.Bytes(), nil
}

func (chart Chart) add(plt *plot.Plot, at int, line Line) error {
	points := make(plotter.XYs, 0, len(line.Points))
	for _, pt := range line.Points {
		points = append(points, plotter.XY{X: pt.Load, Y: pt.Figure})
	}
	drawn, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	drawn.Color, dots.Color = plotutil.Color(at), plotutil.Color(at)
	drawn.Dashes = plotutil.Dashes(at)
	plt.Add(drawn)
	if chart.Dots {
		plt.Add(dots)
	}
	plt.Legend.Add(line.Name, drawn)
	return nil
}
