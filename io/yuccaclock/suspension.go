package yuccaclock

import "time"

// BootClock is a source of readings of the time since the VM started, such as SinceBoot.
type BootClock func() (time.Duration, error)

// Suspensions compares the boot clock with the monotonic clock. The boot clock advances further
// while the VM is suspended.
//
// It isn't safe for concurrent use.
type Suspensions struct {
	read BootClock
	// last is the time of the previous call of Check, and lastBoot the reading of the boot clock at
	// that time. known reports whether there is such a reading.
	last     time.Time
	lastBoot time.Duration
	known    bool
}

// NewSuspensions returns a Suspensions that reads the given boot clock.
func NewSuspensions(read BootClock) *Suspensions {
	return &Suspensions{read: read}
}

// Check returns the time since the previous call by the monotonic clock and by the boot clock. If
// the boot clock can't be read, both are equal, so that no suspension is assumed.
func (sus *Suspensions) Check(now time.Time) (monotonic, boot time.Duration) {
	reading, err := sus.read()
	if !sus.last.IsZero() {
		monotonic = now.Sub(sus.last)
	}
	boot = monotonic
	if err == nil && sus.known {
		boot = reading - sus.lastBoot
	}
	sus.last, sus.lastBoot, sus.known = now, reading, err == nil
	return monotonic, boot
}
