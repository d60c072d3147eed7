// Package yuccaspace bounds what a daemon holds at once, so that no load makes its process
// outgrow its machine.
//
// A process that uses more memory than its machine allows is killed, and all requests that
// it holds are lost with it; one without descriptors can reach neither targets nor peers.
// BoundsOf divides a machine, and Space lends its memory to requests: the urgent ones find
// room for longer than the others. What finds none is refused at once, before it has run.
//
// The package has no clock, no sockets and no goroutines.
package yuccaspace
