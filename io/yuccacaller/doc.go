// Package yuccacaller is a client for callers: it opens and submits requests, follows
// answers and checks that each is whole and its own.
//
// A second submit under the same id joins the first at the daemon that opened it, so
// retrying Submit is safe at any daemon. Retrying Run is not: each call opens a
// request of its own.
package yuccacaller
