// Package yuccaloop runs all control work of a daemon on one goroutine, in the order in
// which it was posted, with a tick in between. State that only such work touches needs no
// locks, and decisions see one present time each.
package yuccaloop
