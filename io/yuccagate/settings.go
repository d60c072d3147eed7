package yuccagate

import (
	"time"

	"yuccacleat/core/yuccabudget"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/core/yuccaspace"
)

// Settings is what differs from daemon to daemon, and the bounds that operators set.
type Settings struct {
	VM     yuccaid.VM
	Centre yuccaid.Centre
	// Regions names the region of each data centre.
	Regions map[yuccaid.Centre]yuccaid.Region
	// Address is where peers reach this daemon, and Seeds where some of them listen.
	Address string
	Seeds   []string
	// Key is what daemons of one fleet prove to each other.
	Key    yuccaid.Key
	Bounds Bounds
	// FirstStart says that the whole fleet starts for the first time, so that nothing was let in
	// before.
	FirstStart bool
	// Machine is what the process may use.
	Machine yuccaspace.ProcessLimits
}

// Bounds are the operators' limits on what the whole fleet may do.
type Bounds struct {
	// Grace is how long a process may go on after it was told to end.
	Grace time.Duration
	// ResendRatio and ResendAllowance bound the requests that are sent to a second target
	// within ResendWindow, for each pool over all daemons.
	ResendRatio     float64
	ResendAllowance float64
	ResendWindow    time.Duration
	// QuotaWindow, QuotaOvershoot and QuotaAllowance say how far an account may go beyond
	// its quota.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaAllowance float64
}

func (bnd *Bounds) tolerance() yuccaquota.Tolerance {
	return yuccaquota.Tolerance{Window: bnd.QuotaWindow, Overshoot: bnd.QuotaOvershoot, Allowance: bnd.QuotaAllowance}
}

func (bnd *Bounds) resends() yuccabudget.Bounds {
	return yuccabudget.Bounds{Window: bnd.ResendWindow, Ratio: bnd.ResendRatio, Allowance: bnd.ResendAllowance}
}
