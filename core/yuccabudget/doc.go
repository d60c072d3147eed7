// Package yuccabudget bounds how many requests are sent to a second target.
//
// When targets fail, sending their requests once more helps the callers of a few and ruins
// everybody when all do it: the load grows just when the targets can bear it least. The
// bound is a part of the requests that arrive plus an allowance, over all daemons. Each
// daemon keeps to the same part of its own requests and to its share of the allowance, so
// that nobody has to be asked.
package yuccabudget
