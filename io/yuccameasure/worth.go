package yuccameasure

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"yuccacleat/core/yuccaplot"
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
	Series  string  `json:"series"`
	Load    float64 `json:"load"`
	Tries   int     `json:"tries"`
	Worth   float64 `json:"worth"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
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

// WriteWorth writes the points as a table for people and as lines for programs.
func WriteWorth(points []WorthPoint, text, lines io.Writer) error {
	return Table[WorthPoint]{
		Title: "worth against load",
		Columns: []Column[WorthPoint]{
			{"series", func(pt WorthPoint) string { return pt.Series }},
			{"load", func(pt WorthPoint) string { return fmt.Sprintf("%.2f", pt.Load) }},
			{"tries", func(pt WorthPoint) string { return fmt.Sprint(pt.Tries) }},
			{"worth", func(pt WorthPoint) string { return fine(pt.Worth) }},
			{"served", func(pt WorthPoint) string { return fine(pt.Served) }},
			{"refused", func(pt WorthPoint) string { return fine(pt.Refused) }},
			{"failed", func(pt WorthPoint) string { return fine(pt.Failed) }},
		},
		Rows: points,
	}.Write(text, lines)
}

// DrawWorth returns worth against load as SVG, with a line for each series.
func DrawWorth(points []WorthPoint) ([]byte, error) {
	chart := yuccaplot.Chart{Title: "worth against load", Load: "load, as a part of the usual one", Highest: 1, Dots: true}
	for _, pt := range points {
		if last := len(chart.Lines) - 1; last < 0 || chart.Lines[last].Name != pt.Series {
			chart.Lines = append(chart.Lines, yuccaplot.Line{Name: pt.Series})
		}
		line := &chart.Lines[len(chart.Lines)-1]
		line.Points = append(line.Points, yuccaplot.Point{Load: pt.Load, Figure: pt.Worth})
	}
	return chart.SVG()
}
