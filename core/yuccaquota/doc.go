// Package yuccaquota keeps client accounts within quotas that hold over all daemons.
//
// Each daemon counts for each account what was let in within a sliding window, by itself
// and, as they report, by the others. No part of the quota is set aside for a daemon, so
// nothing is refused within the quota however unevenly requests arrive; the price is that
// an account may exceed it by what is let in within the delay of the reports. A daemon that
// doesn't hear from most of the others uses only its part, and daemons that have all lost
// their memory let in little until a window has passed.
package yuccaquota
