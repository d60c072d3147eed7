package yuccameasure

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through measured points; R2 says how much of their spread it
// explains.
type Fit struct {
	What      string  `json:"what"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
	Points    int     `json:"points"`
}

// FitLine fits a line by least squares. With fewer than two different sizes there is
// no slope, and the mean alone is returned.
func FitLine(what string, sizes, values []float64) Fit {
	fit := Fit{What: what, Points: len(sizes)}
	if len(sizes) == 0 {
		return fit
	}
	if stat.Variance(sizes, nil) == 0 || len(sizes) < 2 {
		fit.Intercept = stat.Mean(values, nil)
		return fit
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(sizes, values, nil, false)
	if stat.Variance(values, nil) == 0 {
		fit.R2 = 1
		return fit
	}
	fit.R2 = stat.RSquared(sizes, values, nil, fit.Intercept, fit.Slope)
	return fit
}

// At returns the line's value at a size.
func (fit Fit) At(size float64) float64 {
	return fit.Intercept + fit.Slope*size
}

// fits is the table of fits of one measurement.
func fits(title string, all []Fit) Table[Fit] {
	return Table[Fit]{Title: title, Rows: all, Columns: []Column[Fit]{
		{"what", func(fit Fit) string { return fit.What }},
		{"intercept", func(fit Fit) string { return fmt.Sprintf("%.4g", fit.Intercept) }},
		{"slope", func(fit Fit) string { return fmt.Sprintf("%.4g", fit.Slope) }},
		{"R2", func(fit Fit) string { return fine(fit.R2) }},
		{"points", func(fit Fit) string { return fmt.Sprint(fit.Points) }},
	}}
}
