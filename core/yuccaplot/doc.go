// Package yuccaplot draws figures against load as SVG, for trials and reports.
//
// The package uses no clock, no files and no goroutines.
package yuccaplot
