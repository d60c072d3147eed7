package yuccaplace

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Health tells whether a target gets ordinary requests or only probes.
type Health string

// The states of a target's health.
const (
	// Healthy means that the target gets ordinary requests according to its cost.
	Healthy Health = "healthy"
	// Probing means that the target is slow, stalled or failing and gets single
	// requests as probes.
	Probing Health = "probing"
)

// Health returns the target's health.
func (state *TargetState) Health() Health {
	if state.probing {
		return Probing
	}
	return Healthy
}

// Backlog returns the estimated time until the target has processed the prompts of its
// present runs.
func (state *TargetState) Backlog(now time.Time) time.Duration {
	return state.prefillWait(now)
}

// PrefillRate returns the recent prefill rate, in prompt tokens per second.
func (state *TargetState) PrefillRate() yuccaid.TokenRate {
	return yuccaid.TokenRate(state.prefill.recent)
}

// DecodeRate returns the recent decode rate, in tokens of one answer per second.
func (state *TargetState) DecodeRate() yuccaid.TokenRate {
	return yuccaid.TokenRate(state.decode.recent)
}
