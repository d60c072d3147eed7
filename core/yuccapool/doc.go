// Package yuccapool leads one pool in one data centre: it takes asks from the
// daemons that own the requests and answers with grants, refusals and cancels.
//
// It queues by yuccaqueue, places by yuccaplace, and adds what needs both: limits of
// accounts, grants and their return, runs of lost owners, and cancelling a run of a
// lower tier when a higher one would be refused for it. Feed every event with the
// present time and send out the decisions; call Tick at least every 100 milliseconds.
//
// The leader holds soft state only. Two leaders at once can overcommit a target for
// a short while; that a request runs at most once is the owner's part.
package yuccapool
