package yuccaplace

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Health is a target's standing.
type Health string

// The states of a target's health.
const (
	// Healthy says that the target takes work by its cost.
	Healthy Health = "healthy"
	// Probing says that the target is slow or stalled and gets single requests only.
	Probing Health = "probing"
)

// Health returns the target's standing.
func (node *TargetState) Health() Health {
	if node.probing {
		return Probing
	}
	return Healthy
}

// Backlog returns how long the prompts already there will keep the target.
func (node *TargetState) Backlog(now time.Time) time.Duration {
	return node.prefillWait(now)
}

// PrefillRate returns the learned prefill rate.
func (node *TargetState) PrefillRate() yuccaid.TokenRate {
	return yuccaid.TokenRate(node.prefill.recent)
}

// DecodeRate returns the learned decode rate.
func (node *TargetState) DecodeRate() yuccaid.TokenRate {
	return yuccaid.TokenRate(node.decode.recent)
}
