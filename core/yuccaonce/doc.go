// Package yuccaonce decides for each request whether it may run, and remembers its
// outcome.
//
// A request belongs to the incarnation of the daemon that opened it, that is, to one
// start of the daemon's process, and only that daemon dispatches it. An Owner stores
// the requests of one incarnation. Each request is closed in a single call: once it is
// closed as not run, it can't be dispatched any more, and once it is dispatched, it
// can't be closed as not run without proof. An id has a lifetime, measured on its
// owner's clock alone. The owner remembers the id for that time and refuses it
// afterwards, so a forgotten request can't run a second time.
package yuccaonce
