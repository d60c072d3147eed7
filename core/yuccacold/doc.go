// Package yuccacold bounds how many requests a second are sent to targets that are cold or may be.
//
// A target is cold for some time after its process started. It may become cold again at any time, and says so late or not
// at all. A cold target crashes if it gets many requests in a second, so the operators state a bound (Bound) that holds for
// all daemons together, also for those that have lost contact with the others. The bound is therefore divided beforehand
// (Shares), without messages: the leader of the pool in the target's own data centre gets most of it, and a few other
// daemons, chosen by rendezvous hashing, get the rest. A target that is known to be cold (State) gets requests from that
// leader only, which spaces them (Budget).
//
// The package uses no clock, no sockets and no goroutines.
package yuccacold
