// Package yuccaorder decides which orders bring targets to their wishes. A target's
// wish is the state that the accepted configuration gives for the target.
//
// Decisions are level-triggered: each decision compares the wish with the state in
// which the target was just observed. A lost, duplicated or failed order is thus
// repaired after the next observation, and leaders need not remember what their
// predecessors sent. The number of the configuration is the fencing number: all leaders
// derive the same order from the same number, and a target that checks the number
// refuses an order with a lower number than it has received.
//
// A target that doesn't check the fencing number obeys the last order it receives. A
// new leader therefore sends such a target no order until every order of earlier
// leaders has expired. It then repairs the state that it observes.
package yuccaorder
