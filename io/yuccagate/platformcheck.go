package yuccagate

import (
	"context"
	"time"

	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccawire"
)

// platformCheckTimeout bounds a read of the platform for which a caller waits.
const platformCheckTimeout = 500 * time.Millisecond

// TargetChanges are all changes of the targets' registrations up to a revision of the platform.
type TargetChanges struct {
	Entries  []yuccaroster.Entry
	Removals []yuccaroster.Removal
	At       yuccaroster.Revision
}

// PlatformCheck reads the changes of the targets' registrations after a revision from the platform itself, without waiting for any. It
// returns an error if it can't return all of them.
type PlatformCheck func(ctx context.Context, after yuccaroster.Revision) (TargetChanges, error)

// WithPlatformCheck sets how the gateway finds out that it has missed no change of the targets. Without it, streams that
// no daemon remembers go on only where other daemons tell their version.
func WithPlatformCheck(check PlatformCheck) Option {
	return func(gate *Gate) { gate.platformCheck = check }
}

// platformChecks has the lookups that wait for a read of the platform. It belongs to the control goroutine.
type platformChecks struct {
	// running reports whether a read is under way. Next are the lookups that wait for the one after it, because they began later.
	running bool
	next    []*originLookup
}

// checkPlatform continues a lookup once this daemon knows all changes of the targets up to now, or can't get to know them.
func (gate *Gate) checkPlatform(now time.Time, lookup *originLookup) {
	if gate.platformCheck == nil {
		gate.concludeChecked(now, lookup, false)
		return
	}
	gate.checks.next = append(gate.checks.next, lookup)
	if !gate.checks.running {
		gate.startCheck()
	}
}

// startCheck reads the platform for the lookups that wait.
func (gate *Gate) startCheck() {
	lookups := gate.checks.next
	gate.checks.running, gate.checks.next = true, nil
	after := gate.platformRevision
	gate.workers.Go(func() {
		ctx, cancel := context.WithTimeout(gate.traffic, platformCheckTimeout)
		defer cancel()
		changes, err := gate.platformCheck(ctx, after)
		gate.metrics.platformChecked(err == nil)
		gate.control.Post(func(now time.Time) {
			if err == nil {
				targets := yuccawire.Targets{Entries: changes.Entries, Removals: changes.Removals, At: changes.At}
				gate.onTargets(now, yuccawire.TargetsUpdate{Targets: targets, After: after})
			}
			for _, lookup := range lookups {
				gate.concludeChecked(now, lookup, err == nil)
			}
			gate.checks.running = false
			if len(gate.checks.next) > 0 {
				gate.startCheck()
			}
		})
	})
}

// concludeChecked concludes a lookup after a read of the platform.
func (gate *Gate) concludeChecked(now time.Time, lookup *originLookup, confirmed bool) {
	lookup.checked, lookup.confirmed = true, confirmed
	gate.conclude(now, lookup)
}
