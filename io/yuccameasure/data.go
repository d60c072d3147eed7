package yuccameasure

import "time"

const (
	// MaxProcesses bounds the children of one run: 150 daemons take some 4 GB and open
	// some 20,000 connections among them, which a machine shared with others can bear.
	MaxProcesses = 150
	// ticksPerSecond is the unit of processor times in /proc, the same on all Linux ports.
	ticksPerSecond = 100
	// settleLimit is how long a fleet may take to start and agree.
	settleLimit = 2 * time.Minute
	// pollEvery spaces the looks at a fleet that starts. Each look costs the daemon some
	// processor time, so nothing is polled while a figure is taken.
	pollEvery = 100 * time.Millisecond
	// endLimit is how long a child may take to end before it is killed.
	endLimit = 5 * time.Second

	// enginePrefill is what the stand-in engines do and what the notes say of them: a
	// guess that is several times too high passes for a straggling target.
	enginePrefill = 40_000

	secret    = "secret of the measuring account"
	account   = "bench"
	draftPool = "draft"
	tier      = "normal"
	// runDeadline is longer than any run here, so that no deadline ends one.
	runDeadline = 10 * time.Minute
)
