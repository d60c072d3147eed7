// Package yuccapool implements the leader of one pool, a group of targets, in one data
// centre. The owner of a request is the daemon that received it from its caller. Owners
// submit requests to the leader, which answers each with a grant, the permission to run
// the request on one target, or with a refusal. It may also cancel a run.
//
// The package uses yuccaqueue to order requests and yuccaplace to choose targets. It
// enforces the limits of accounts, keeps a slot for each grant until the owner reports
// that the run has finished, and frees the slots of runs whose owner is lost. By
// preemption (also called eviction) the leader cancels a run of a lower tier so that a
// request gets the run's slot instead of being refused. The caller passes in each event with the present time,
// sends the returned decisions and calls Tick at least every 100 milliseconds.
//
// The leader's state is not stored. Two leaders at the same time can overcommit a
// target for a short while; owners make sure that a request runs at most once.
package yuccapool
