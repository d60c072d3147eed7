// Package yuccaonce decides for each request whether it may run, and remembers its
// outcome.
//
// A request belongs to the incarnation of the daemon that opened it, and only that
// daemon dispatches it. An Owner stores the requests of one incarnation. Each request
// is closed in a single call: if it is closed as not run first, it can't be dispatched
// any more, and the reverse. An id has a lifetime, measured on its owner's clock alone.
// The owner remembers the id for that time and refuses it afterwards, so a forgotten
// request can't run a second time.
package yuccaonce
