// Package yuccapool implements the leader of one pool in one data centre. The leader
// receives requests from the daemons that own them and answers with grants, refusals
// and cancels.
//
// It uses yuccaqueue to order requests and yuccaplace to choose targets. It adds what
// needs both: limits of accounts, grants and their return, runs whose owners are lost,
// and preemption, which cancels a run of a lower tier for a request that would
// otherwise be refused. The caller passes in each event with the present time and sends
// the returned decisions; it calls Tick at least every 100 milliseconds.
//
// The leader's state is not stored. Two leaders at the same time can overcommit a
// target for a short while; owners make sure that a request runs at most once.
package yuccapool
