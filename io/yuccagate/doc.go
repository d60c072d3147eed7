// Package yuccagate serves HTTP requests of any content: it finds the pool by host and path,
// waits for a target, sends the request there and hands the answer back byte for byte.
//
// Where yuccadaemon owns requests with ids of its own, a gateway holds a request only as
// long as its caller's connection lasts: one that breaks is never taken up elsewhere, and
// what may be repeated follows from the route. Decisions are those of the core packages;
// one goroutine owns the state they work on, and each request has a goroutine of its own.
//
// How callers and targets write what the gateway has to know, such as a deadline or a
// target's load, is given by a Dialect.
package yuccagate
