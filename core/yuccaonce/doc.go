// Package yuccaonce decides for each request whether it may run, and remembers how
// it ended.
//
// A request belongs to the incarnation of the daemon that opened it, and only that
// daemon dispatches it. An Owner holds the requests of one incarnation. Each end of
// a request is decided in one call: whichever of giving up and dispatching comes
// first makes the other void. An id has a lifetime, counted on its owner's clock
// alone. The owner remembers an id that long and refuses it afterwards, so that
// forgetting can't make a request run a second time.
package yuccaonce
