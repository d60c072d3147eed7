// Package yuccagrant decides which waiting request gets which target, and which is told to
// come back later.
//
// It serves requests whose first event has an aim: an answer that begins in time and then
// flows is worth much more than one that begins late. One Leader decides for one pool as
// seen from one data centre. It counts what runs on each target, keeps targets' own queues
// empty, and lets the rest wait in an order that urgency decides. Speeds are learned from
// the answers themselves: what a first event takes, what a further event takes, and how
// much slower than the quickest each target is.
//
// The package has no clock, no sockets and no goroutines; the present time is an argument
// of what decides. Two leaders at once can fill a target twice for a moment; that a request
// runs once is its owner's part.
package yuccagrant
