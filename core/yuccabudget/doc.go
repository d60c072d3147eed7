// Package yuccabudget limits how many requests daemons resend to a second target.
//
// When few targets fail, resending their requests helps the callers. When most targets fail,
// resending makes the overload worse, because the load grows just when the targets can handle the
// least. The limit over all daemons is, for each pool and in each window, a ratio of the requests
// that arrive plus a fixed allowance. Each daemon applies half of the ratio to its own requests and
// uses a part of the allowance, so that no resend needs a message to another daemon, and no daemon has to
// know what others sent that were killed or can't be reached.
//
// The parts are such that all daemons together never have more than the allowance. Each seed stands for an equal
// share of it, which the daemons divide that reach the seed, and a larger part than before applies only
// after a window.
package yuccabudget
