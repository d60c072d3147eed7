//go:build race

package main_test

// raceFlags build the daemons as this test was built.
var raceFlags = []string{"-race"}
