// Package yuccaquarantine finds the parts of prompts on which targets crash, and decides which requests are held back
// because of them.
//
// A target that crashes loses all its runs, and only one of them caused it. So each crash is evidence against the parts
// of all runs that may have caused it: those that hadn't come far in their answer. A run that comes far, at any target,
// clears its parts. A part that is left with several crashes, which no other part explains, is held. Requests with a
// held part are tried again rarely, one at a time, so that a part that was held by mistake, or that has become harmless,
// is found.
//
// Daemons tell one another of crashes, of parts that were cleared and of trials (News). Each decides from what it knows.
//
// The package uses no clock, no sockets and no goroutines.
package yuccaquarantine
