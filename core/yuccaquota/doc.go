// Package yuccaquota keeps client accounts within quotas that hold over all daemons.
//
// Each daemon keeps one bucket for each account as if it were the only one, and takes out
// of it what the others report to have let in. No part of the quota is set aside for a
// daemon, so nothing is refused within the quota however unevenly requests arrive; the
// price is that an account may exceed it by what is let in within the delay of the
// reports. A daemon that doesn't hear from most of the others uses only its part.
package yuccaquota
