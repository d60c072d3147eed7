// Package yuccaqueue orders the requests that wait for one pool: which is served
// next, which is displaced and which is refused.
//
// It holds metadata only and makes no decision about targets. It has no clock, no
// sockets and no goroutines; the present time is an argument of what decides.
package yuccaqueue
