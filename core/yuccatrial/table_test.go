package yuccatrial_test

import (
	"flag"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccatrial"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// shortSpan is long enough for queues to build up and short enough for each change.
const shortSpan = time.Minute

// short returns a deployment's scenario with everything that it has within a minute.
func short(dep yuccatrial.Deployment, name string) yuccatrial.Scenario {
	return named(dep, name, shortSpan)
}

// whole is a scenario as long as the tables have it.
func whole(dep yuccatrial.Deployment, name string) yuccatrial.Scenario {
	return named(dep, name, 0)
}

func named(dep yuccatrial.Deployment, name string, span time.Duration) yuccatrial.Scenario {
	for _, scn := range yuccatrial.Scenarios(dep, span) {
		if strings.HasSuffix(scn.Name, name) {
			return scn
		}
	}
	panic("no scenario " + name)
}

// baselines don't change with the leader, so their table stays the same.
func baselines(scn yuccatrial.Scenario) []yuccatrial.Result {
	return []yuccatrial.Result{
		yuccatrial.Run(1, scn, yuccatrial.RoundRobin()),
		yuccatrial.Run(1, scn, yuccatrial.LeastOutstanding()),
		yuccatrial.Run(1, scn, yuccatrial.PowerOfTwo(1)),
		yuccatrial.Bound(1, scn),
	}
}

var _ = Describe("the table", func() {
	It("is the same as before for the baselines", func() {
		var results []yuccatrial.Result
		for _, dep := range yuccatrial.Deployments()[:2] {
			results = append(results, baselines(short(dep, "saturation"))...)
		}
		text := yuccatrial.Table(results)
		if *update {
			Expect(os.WriteFile("testdata/baselines.golden", []byte(text), 0o644)).To(Succeed())
		}
		golden, err := os.ReadFile("testdata/baselines.golden")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(string(golden)))
	})

	It("draws a line for each policy", func() {
		results := baselines(short(yuccatrial.Hotline(), "usual"))
		for _, figure := range yuccatrial.Measures() {
			svg, err := yuccatrial.Draw(results, figure)
			Expect(err).NotTo(HaveOccurred())
			for _, res := range results {
				Expect(string(svg)).To(ContainSubstring(res.Policy))
			}
		}
	})
})
