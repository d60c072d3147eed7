// Package yuccatrial measures policies for placing and refusing requests under load,
// in virtual time.
//
// Small fakes of engines stand behind the events that the leader of a pool knows:
// they batch, cache prefixes, admit in order of arrival and report late. Seeded
// workloads meet each policy alike, and the outcome for callers is counted. Nothing
// here opens a socket, reads a clock or starts a goroutine; a run depends on its
// seed alone.
package yuccatrial
