// Package yuccabudget limits how many requests daemons resend to a second target.
//
// When few targets fail, resending their requests helps the callers. When most targets fail,
// resending makes the overload worse, because the load grows just when the targets can handle the
// least. The limit over all daemons is, for each pool, a share of the requests that arrive plus a
// fixed allowance. Each daemon applies the same ratio to its own requests and uses an equal share
// of the allowance, so that no resend needs a message to another daemon.
package yuccabudget
