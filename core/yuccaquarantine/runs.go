package yuccaquarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// brokenFor is how long after a run broke off its process may turn out to have crashed. A registration takes most of
	// it to expire.
	brokenFor = 6 * time.Second
	// maxBroken bounds the runs that are remembered, and maxTraitsPerCrash the traits of one report.
	maxBroken         = 4096
	maxTraitsPerCrash = 64
)

// Runs is what one daemon knows of the runs that have broken off. It isn't safe for concurrent use. The zero value is empty.
type Runs struct {
	broken map[Process][]brokenRun
	count  int
	// crashed are the processes known to have crashed, and when.
	crashed map[Process]time.Time
}

// brokenRun is a run that broke off, with the traits that it hadn't cleared.
type brokenRun struct {
	at     time.Time
	traits []Trait
}

// Break records that a run of a process broke off, with the traits that it hadn't cleared. If the process is known to have
// crashed, it returns the crash with these traits.
func (runs *Runs) Break(now time.Time, process Process, traits []Trait) (Crash, bool) {
	if at, found := runs.crashed[process]; found && now.Sub(at) < brokenFor {
		return Crash{Process: process, At: at, Traits: traits}, len(traits) > 0
	}
	if runs.broken == nil {
		runs.broken = make(map[Process][]brokenRun)
	}
	if runs.count < maxBroken {
		runs.broken[process] = append(runs.broken[process], brokenRun{at: now, traits: traits})
		runs.count++
	}
	return Crash{}, false
}

// Crashed records that a process has crashed. It returns the crash if runs of the process broke off within brokenFor.
func (runs *Runs) Crashed(now time.Time, process Process) (Crash, bool) {
	runs.Expire(now)
	if _, known := runs.crashed[process]; known {
		return Crash{}, false
	}
	list := runs.broken[process]
	if len(list) == 0 {
		return Crash{}, false
	}
	runs.forget(process)
	if runs.crashed == nil {
		runs.crashed = make(map[Process]time.Time)
	}
	// The last run that broke off before was broken off by the crash, since none can begin after it.
	crash := Crash{Process: process, At: list[len(list)-1].at}
	runs.crashed[process] = crash.At
	for _, run := range list {
		if crash.At.Sub(run.at) > sameCrash {
			continue
		}
		for _, trait := range run.traits {
			if !slices.Contains(crash.Traits, trait) && len(crash.Traits) < maxTraitsPerCrash {
				crash.Traits = append(crash.Traits, trait)
			}
		}
	}
	return crash, true
}

// Processes returns the processes of which runs broke off within brokenFor.
func (runs *Runs) Processes() []Process { return slices.Collect(maps.Keys(runs.broken)) }

// Expire forgets what is older than brokenFor.
func (runs *Runs) Expire(now time.Time) {
	maps.DeleteFunc(runs.crashed, func(_ Process, at time.Time) bool { return now.Sub(at) >= brokenFor })
	for process, list := range runs.broken {
		if now.Sub(list[len(list)-1].at) >= brokenFor {
			runs.forget(process)
		}
	}
}

func (runs *Runs) forget(process Process) {
	runs.count -= len(runs.broken[process])
	delete(runs.broken, process)
}
