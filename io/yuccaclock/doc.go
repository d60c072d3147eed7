// Package yuccaclock reads the time since the VM started, suspensions included.
//
// The monotonic clock of package time stops while a VM is suspended, and the wall clock may be set
// forward or back at any time. Only the boot clock shows how long a suspension lasted.
package yuccaclock
