// Package yuccaramp decides how many requests a target gets at once that has just started, or that failed and may have
// recovered, until its answers show what it can take.
//
// The number of requests that wait there for the beginning of their answer is bounded by a window. The window begins with
// one request, grows by one with each answer that begins on time, so that it doubles with each round of answers, and shrinks
// when answers are late or fail. A sound target has its full share after a few rounds.
//
// The package uses no clock, no sockets and no goroutines.
package yuccaramp
