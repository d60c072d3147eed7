// Package yuccaplace estimates what a request costs on each target and chooses the
// target. The estimates cover the work that waits on the target, the prompt tokens that
// the target's cache doesn't hold, the target's learned rates, and whether the target
// is a straggler, that is, much slower than its own usual rate.
//
// Rates are learned for each target from the measurements of the daemons that own the
// requests. The measurements are corrected for what else ran on the target, so neither
// stale load reports nor a full batch distort the rates. Which prefixes a target holds
// is derived from the prompts that were sent to the target. The derived set is bounded
// by the size of the target's cache and corrected by the target's cache events. A
// choice scans the targets of one pool in one data centre.
//
// The package has no clock, no sockets and no goroutines; the functions that depend on
// the present time take it as an argument.
package yuccaplace
