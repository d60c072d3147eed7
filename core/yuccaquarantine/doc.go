// Package yuccaquarantine finds the traits of requests on which targets crash, and decides which requests are held back
// because of them. A trait is a part of prompts or a whole content.
//
// A target that crashes loses all its runs, and only one of them caused it. So each crash is evidence against the traits
// of all runs that may have caused it. A run that comes far in its answer, at any target, clears the parts of its prompt, and
// one that is whole its content as well. A trait that is left with several crashes, which no other trait explains, is held, and
// a content also if another one explains them. Requests with a held trait are tried again rarely, one at a time, so that a trait
// that was held by mistake, or that has become harmless, is found.
//
// Daemons tell one another of crashes, of traits that were cleared and of trials (News). Each decides from what it knows.
//
// The package uses no clock, no sockets and no goroutines.
package yuccaquarantine
