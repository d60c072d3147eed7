// Package yuccaplace estimates what a request costs on each target and chooses the
// target: waiting work, prompt tokens that no cache holds, learned speeds,
// stragglers.
//
// Speeds are learned for each target from what the owners of requests saw, net of what
// else ran there, so that neither stale reports nor a full batch mislead it. Which
// prefixes a target holds follows from what was sent there, bounded by its cache and
// corrected by its events. A choice scans the targets of one pool in one data centre.
//
// The package has no clock, no sockets and no goroutines; the present time is an argument of
// what decides.
package yuccaplace
