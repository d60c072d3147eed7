// Package yuccagate is the gateway: it routes HTTP requests of any content to a pool by host
// and path, waits until a target of the pool has a free slot, forwards the request and relays
// the response byte for byte.
//
// Unlike yuccadaemon, which owns requests under ids of its own, a gateway keeps a request only
// as long as its caller's connection lasts. If that connection breaks, no other daemon takes
// the request over. If a target fails after it may have run a request, the request's route says
// whether the gateway may send the request to another target.
//
// The core packages make the decisions: which request goes to which target, what quotas admit,
// which daemon leads a pool. One control goroutine owns the state that the core packages work on,
// and each request has its own goroutine.
//
// Each pool has a leader, one daemon of the data centre that decides which of the pool's
// requests go to which target. A cast is a message from one daemon to the daemons of all other
// data centres, with the loads of targets or the usage of accounts.
//
// A Dialect defines how callers and targets express what the gateway needs to know, such as a
// deadline or a target's load.
package yuccagate
