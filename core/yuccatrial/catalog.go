package yuccatrial

import "time"

const (
	usualLoad  = 0.7
	usualSpan  = 5 * time.Minute
	aimedSpan  = time.Minute
	usualLag   = time.Second
	staleLag   = 5 * time.Second
	slowFactor = 1.0 / 8
)

// usual is a deployment at its everyday load; a span of zero means the default.
func usual(dep Deployment, span time.Duration) Scenario {
	if span == 0 && len(dep.Centres) == 1 {
		span = aimedSpan
	}
	if span == 0 {
		span = usualSpan
	}
	return Scenario{Name: dep.Name + " usual", Deployment: dep, Load: usualLoad, Duration: span, ReportLag: usualLag}
}

// Scenarios returns every scenario of a deployment, each as long as the span or, if
// that is zero, as the default. Faults come at a third of the run and last another
// third.
func Scenarios(dep Deployment, span time.Duration) []Scenario {
	base := usual(dep, span)
	third := base.Duration / 3
	vary := func(name string, change func(scn *Scenario)) Scenario {
		scn := base
		scn.Name = dep.Name + " " + name
		change(&scn)
		return scn
	}
	burst := func(scn *Scenario) {
		scn.Burst = Window{From: third, To: third + min(third, 20*time.Second)}
		scn.BurstFactor = 4
	}
	list := []Scenario{
		base,
		vary("burst", burst),
		vary("skewed account", func(scn *Scenario) { scn.Skew, scn.Load = 0.7, 1.1 }),
		vary("slow target", func(scn *Scenario) {
			scn.faults = []engineFault{{after: third, speed: slowFactor}, {after: 2 * third, speed: 1}}
		}),
		vary("stalled target", func(scn *Scenario) {
			scn.faults = []engineFault{{after: third}, {after: 2 * third, speed: 1}}
		}),
		vary("long and short", func(scn *Scenario) { scn.LongShare = 0.05 }),
		vary("saturation", func(scn *Scenario) { scn.Load, scn.Duration = 1.5, 2*scn.Duration }),
		vary("stale reports", func(scn *Scenario) {
			scn.ReportLag = staleLag
			scn.NoReports = Window{From: third, To: 2 * third}
		}),
		vary("lost cache events", func(scn *Scenario) { scn.CacheLoss = 0.5 }),
		vary("leader lost in burst", func(scn *Scenario) {
			burst(scn)
			scn.events = []event{{after: third + 5*time.Second, do: loseLeaders}}
		}),
	}
	if len(dep.Centres) == 1 {
		return append(list, vary("skewed model", func(scn *Scenario) { scn.SkewPool = 0.2 }))
	}
	return append(
		list,
		vary("skewed centre", func(scn *Scenario) { scn.SkewCentre = 0.4 }),
		vary("centre cut off", func(scn *Scenario) {
			scn.SkewCentre = 0.3
			scn.events = []event{
				{after: third, do: func(tri *trial) { cutOff(tri, true) }},
				{after: 2 * third, do: func(tri *trial) { cutOff(tri, false) }},
			}
		}),
	)
}

func loseLeaders(tri *trial) {
	for _, pool := range tri.pools {
		call(pool.hooks.Lose)
	}
}

// cutOff cuts the first data centre off from the others, or heals it.
func cutOff(tri *trial, cut bool) {
	for _, pool := range tri.pools {
		if pool.Centre == tri.scenario.Deployment.Centres[0].Name {
			pool.cut = cut
		}
	}
	for _, pool := range tri.pools {
		call(pool.hooks.Cut)
	}
}
