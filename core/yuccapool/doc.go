// Package yuccapool leads one pool in one data centre: it takes asks from the
// daemons that own the requests and answers with grants, refusals and cancels.
//
// The leader holds soft state only. Two leaders at once can overcommit a target for
// a short while; that a request runs at most once is the owner's part.
package yuccapool
