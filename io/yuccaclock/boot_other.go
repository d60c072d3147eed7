//go:build !linux

package yuccaclock

import (
	"errors"
	"time"
)

var errNoBootClock = errors.New("this system has no boot clock, so suspensions of the VM are not noticed: run the daemon on Linux")

// SinceBoot returns an error, because only Linux has a clock that includes suspensions and isn't
// affected by changes of the wall clock.
func SinceBoot() (time.Duration, error) { return 0, errNoBootClock }
