// Package yuccaorder decides which orders bring targets to the state that the
// accepted configuration wishes for.
//
// Decisions are level-triggered: each compares the wish with what the target was just
// seen to have, so a lost, doubled or failed order is repaired by the next look and
// leaders need not remember what their predecessors sent. The configuration's number
// is the fencing number: all leaders derive the same order from the same number, and a
// target that checks refuses an older one.
//
// A target that doesn't check obeys whoever comes last. A new leader therefore waits
// until every order of an old leader has expired, and repairs what it then sees.
package yuccaorder
