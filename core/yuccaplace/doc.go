// Package yuccaplace estimates what a request costs on each target and chooses the
// target: waiting work, prompt tokens that no cache holds, learned speeds,
// stragglers.
//
// It has no clock, no sockets and no goroutines; the present time is an argument of
// what decides.
package yuccaplace
