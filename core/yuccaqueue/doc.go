// Package yuccaqueue orders the requests that wait for one pool: which is served
// next, which is displaced and which is refused.
//
// Tiers are strict. Within a tier a window of fairness between client accounts decides
// first and the deadline second. Bounds on requests and tokens keep an overload from
// turning into waits that no deadline survives; a full queue gives a higher tier the
// place of the lowest tier's newest request. Every step costs at most the logarithm of
// what waits; what is scanned are the tiers and the distinct sets of targets.
//
// The package holds metadata only and makes no decision about targets. It has no clock, no
// sockets and no goroutines; the present time is an argument of what decides.
package yuccaqueue
