package yuccatrial_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"yuccacleat/core/yuccatrial"
)

var (
	measure  = flag.String("measure", "", "print the table of this deployment: hotline, desk or aimed")
	scenario = flag.String("scenario", "", "only scenarios whose name holds this")
	plots    = flag.String("plots", "", "write plots of goodput and waste against load to this folder")
	seed     = flag.Uint64("seed", 1, "seed of the workload")
)

// TestMeasure prints whole tables and draws plots; without a flag it has nothing to do.
func TestMeasure(t *testing.T) {
	for _, dep := range yuccatrial.Deployments() {
		if dep.Name == *measure {
			var results []yuccatrial.Result
			for _, scn := range yuccatrial.Scenarios(dep, 0) {
				if strings.Contains(scn.Name, *scenario) {
					results = append(results, yuccatrial.Compare(*seed, scn)...)
				}
			}
			fmt.Print(yuccatrial.Table(results), yuccatrial.Losses(results, 0))
		}
	}
	if *plots == "" {
		return
	}
	for _, dep := range yuccatrial.Deployments()[:2] {
		results := yuccatrial.Curve(*seed, dep, yuccatrial.Loads)
		for i, figure := range yuccatrial.Measures() {
			svg, err := yuccatrial.Draw(results, figure)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(fmt.Sprintf("%s/%s-%d.svg", *plots, dep.Name, i), svg, 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
}
