// Package yuccaqueue orders the requests that wait for one pool, a group of targets: it
// decides which request is served next, which is displaced and which is refused.
//
// Tiers are strict: a higher tier, which has a lower rank, is always served first.
// Within a tier, weighted fairness between client accounts comes first, with some
// tolerance (the fair window), and the deadline second. Bounds on requests and tokens
// keep an overload from turning into waits longer than any deadline. When the queue is
// full, an arriving request displaces the newest request of the lowest tier, if that tier
// is below its own. Each step takes logarithmic time in the number of waiting requests; only tiers and the
// distinct sets of targets that accounts may use are scanned.
//
// The package holds metadata of requests, not their bodies; the caller chooses targets.
// The package has no clock, no sockets and no goroutines; functions that need the
// present time take it as an argument.
package yuccaqueue
