package yuccagate

import (
	"time"

	"yuccacleat/core/yuccabudget"
	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/core/yuccaspace"
)

// Settings are the settings of one daemon.
type Settings struct {
	VM     yuccaid.VM
	Centre yuccaid.Centre
	// Regions holds the region of each data centre.
	Regions map[yuccaid.Centre]yuccaid.Region
	// Address is where other daemons reach this daemon. Seeds are the addresses of daemons to which
	// this daemon connects first.
	Address string
	Seeds   []string
	// Key is the secret by which the daemons of one fleet authenticate one another.
	Key    yuccaid.Key
	Bounds Bounds
	// FirstStart reports whether the whole fleet starts for the first time, so that no account
	// has usage from before.
	FirstStart bool
	// ProcessLimits is the memory and the file descriptors that the process may use.
	ProcessLimits yuccaspace.ProcessLimits
}

// Bounds are the operators' limits on the whole fleet.
type Bounds struct {
	// Grace is the longest time from the signal to stop until the process has exited.
	Grace time.Duration
	// ResendRatio and ResendAllowance bound how many requests of a pool all daemons together
	// may send to a second target within ResendWindow.
	ResendRatio     float64
	ResendAllowance float64
	ResendWindow    time.Duration
	// QuotaWindow, QuotaOvershoot and QuotaAllowance define how far an account may exceed its
	// quota.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaAllowance float64
	// Cold is by how much the fleet may exceed what a pool's cold targets bear.
	Cold yuccacold.Bound
}

func (bounds *Bounds) tolerance() yuccaquota.Tolerance {
	return yuccaquota.Tolerance{Window: bounds.QuotaWindow, Overshoot: bounds.QuotaOvershoot, Allowance: bounds.QuotaAllowance}
}

func (bounds *Bounds) resendBounds() yuccabudget.Bounds {
	return yuccabudget.Bounds{Window: bounds.ResendWindow, Ratio: bounds.ResendRatio, Allowance: bounds.ResendAllowance}
}
