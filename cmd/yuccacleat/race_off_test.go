//go:build !race

package main_test

var raceFlags []string
