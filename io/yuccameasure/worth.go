package yuccameasure

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// reportName is how the reports of a curve are named: what was measured, the load as a part
// of the usual one, and which try it was.
var reportName = regexp.MustCompile(`^(.+)@(\d+(?:\.\d+)?)@(\w+)\.json$`)

// ReportNameError says that a report's file isn't named like a point of a curve.
type ReportNameError struct {
	Path string
}

// Error names the remedy.
func (err *ReportNameError) Error() string {
	return fmt.Sprintf("%s: name reports SERIES@LOAD@TRY.json, such as pecos@1.25@2.json", err.Path)
}

// WorthPoint is the mean of all tries of one series at one load. Worth and the shares lie
// between zero and one.
type WorthPoint struct {
	Series                         string
	Load                           float64
	Tries                          int
	Worth, Served, Refused, Failed float64
}

// ReadWorth reads the bench's reports of days of different load, each named SERIES@LOAD@TRY.json.
func ReadWorth(paths []string) ([]WorthPoint, error) {
	type key struct {
		series string
		load   float64
	}
	sums := make(map[key]*WorthPoint)
	for _, path := range paths {
		parts := reportName.FindStringSubmatch(filepath.Base(path))
		if parts == nil {
			return nil, &ReportNameError{Path: path}
		}
		load, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return nil, &ReportNameError{Path: path}
		}
		var report struct {
			Worth                   float64 `json:"G"`
			Served, Refused, Failed float64
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(raw, &report); err != nil {
			return nil, fmt.Errorf("%s is no report of a day, write it with --report: %w", path, err)
		}
		at := key{parts[1], load}
		if sums[at] == nil {
			sums[at] = &WorthPoint{Series: at.series, Load: at.load}
		}
		sums[at].add(report.Worth, report.Served, report.Refused, report.Failed)
	}
	points := make([]WorthPoint, 0, len(sums))
	for _, point := range sums {
		points = append(points, *point)
	}
	slices.SortFunc(points, func(a, b WorthPoint) int {
		return cmp.Or(cmp.Compare(a.Series, b.Series), cmp.Compare(a.Load, b.Load))
	})
	return points, nil
}

// add takes one try into the means.
func (pt *WorthPoint) add(worth, served, refused, failed float64) {
	pt.Tries++
	part := 1 / float64(pt.Tries)
	pt.Worth += part * (worth - pt.Worth)
	pt.Served += part * (served - pt.Served)
	pt.Refused += part * (refused - pt.Refused)
	pt.Failed += part * (failed - pt.Failed)
}

// WriteWorth prints the points as a table.
func WriteWorth(out io.Writer, points []WorthPoint) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "series\tload\ttries\tworth\tserved\trefused\tfailed\t")
	for _, pt := range points {
		fmt.Fprintf(tab, "%s\t%.2f\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t\n", pt.Series, pt.Load, pt.Tries, pt.Worth, pt.Served, pt.Refused, pt.Failed)
	}
	return tab.Flush()
}

const (
	worthWidth  = 6 * vg.Inch
	worthHeight = 4 * vg.Inch
)

// DrawWorth returns worth against load as SVG, with a line for each series.
func DrawWorth(points []WorthPoint) ([]byte, error) {
	plt := plot.New()
	plt.Title.Text = "worth against load"
	plt.X.Label.Text = "load, as a part of the usual one"
	plt.Y.Min, plt.Y.Max = 0, 1
	plt.Legend.Left = true
	lines := make(map[string]plotter.XYs)
	var names []string
	for _, pt := range points {
		if lines[pt.Series] == nil {
			names = append(names, pt.Series)
		}
		lines[pt.Series] = append(lines[pt.Series], plotter.XY{X: pt.Load, Y: pt.Worth})
	}
	for i, name := range names {
		line, dots, err := plotter.NewLinePoints(lines[name])
		if err != nil {
			return nil, fmt.Errorf("draw %s: %w", name, err)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		plt.Add(line, dots)
		plt.Legend.Add(name, line)
	}
	canvas := vgsvg.New(worthWidth, worthHeight)
	plt.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return nil, fmt.Errorf("write plot: %w", err)
	}
	return svg.Bytes(), nil
}
