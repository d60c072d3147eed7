// Package yuccaplot draws lines of figures against load as SVG, for trials and for reports.
//
// The package has no clock, no files and no goroutines.
package yuccaplot
