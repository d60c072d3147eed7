// Package yuccaramp decides how many requests a target gets at once that has just started, or that failed and may have
// recovered, until its answers show what it can take.
//
// A window bounds the number of requests at the target whose answers haven't begun, like the congestion window of TCP in
// slow start. It begins with one request and grows by one with each answer that begins on time, so that it doubles with each
// round of answers. It halves when an answer is late, and is reset to one when a request fails. A sound target has its full
// share after a few rounds.
//
// The package uses no clock, no sockets and no goroutines.
package yuccaramp
