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
func (node *Node) Health() Health {
	if node.probing {
		return Probing
	}
	return Healthy
}

// Backlog returns how long the prompts already there will keep the target.
func (node *Node) Backlog(now time.Time) time.Duration {
	return node.prefillWait(now)
}

// Prefill returns the learned prefill rate.
func (node *Node) Prefill() yuccaid.TokenRate {
	return yuccaid.TokenRate(node.prefill.recent)
}

// Decode returns the learned decode rate.
func (node *Node) Decode() yuccaid.TokenRate {
	return yuccaid.TokenRate(node.decode.recent)
}
