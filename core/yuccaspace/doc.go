// Package yuccaspace limits the memory and the connections that a daemon uses at once, so that
// its process stays within the limits of its VM under any load.
//
// A process that exceeds its memory limit is killed, and all its requests are lost; a process
// without free file descriptors can connect neither to targets nor to peers. BoundsOf divides the
// process's memory and file descriptors among their uses. MemoryLimiter reserves memory for
// requests and keeps part of it for the more urgent ranks. A request for which no memory is left is
// refused at once, before it has run.
//
// The package uses no clock, no sockets and no goroutines.
package yuccaspace
