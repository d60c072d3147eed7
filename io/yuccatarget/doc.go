// Package yuccatarget speaks to targets: it dispatches requests, reads and resumes
// their answers, cancels them, reads load, cache events and state, and gives orders.
//
// Its errors say what is known about a request and no more. Only an UnsentError, a
// RefusedError or a LeavingError means that the request did not run; after anything
// else it may have run and is not sent again.
package yuccatarget
