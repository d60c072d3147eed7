package yuccaspace

import "yuccacleat/core/yuccaid"

const (
	// RequestOverhead is the memory reserved for a running request in addition to its body. It
	// covers two connections with their buffers, goroutines, the heads of request and answer, and
	// one event that the caller hasn't read. The resident memory per stream can be higher: 112 KB
	// with 16 KB events and callers that read nothing. Part of these 112 KB is garbage that has not
	// been collected yet. requestMemoryShare leaves memory for garbage.
	RequestOverhead yuccaid.Bytes = 64 << 10

	// requestMemoryShare is the share of the process's memory that running requests may use. The rest
	// is for the program, the configuration, idle connections and garbage: the collector lets the
	// heap grow to about twice the memory in use.
	requestMemoryShare = 0.4
	// headMemoryShare is the share that heads of requests may use while they are read, beyond that of ordinary ones.
	headMemoryShare = 0.05
	// rankReserve is the share of the request memory that each rank leaves to the more urgent
	// ranks, counted for at most maxReservedRanks ranks. It ensures that less urgent requests
	// with long prompts never block an urgent one.
	rankReserve      = 0.1
	maxReservedRanks = 3

	// nonSocketDescriptors is the number of file descriptors that are left for other uses than sockets.
	nonSocketDescriptors = 200
	// callerConnectionShare is the share of the descriptors for connections of callers; the same
	// number is left for the connections to targets that the requests of these callers use.
	// idleConnectionShare is the share for idle connections to targets. The rest is for peers, the
	// platform, operators and connections that are being closed.
	callerConnectionShare = 0.4
	idleConnectionShare   = 0.08
	// minConnections is the lower limit of each number of connections. It applies while the number
	// of descriptors is limited, and keeps a daemon working whose limit is too low.
	minConnections = 16
)

// ProcessLimits is what one daemon's process may use; zero means no limit.
type ProcessLimits struct {
	Memory      yuccaid.Bytes
	Descriptors int
}

// Bounds is what a daemon may use at once; zero means no limit.
type Bounds struct {
	// RequestMemory is the memory of all running requests.
	RequestMemory yuccaid.Bytes
	// HeadMemory is the memory of all heads that are being read, beyond that of ordinary ones (see HeadMemory).
	HeadMemory yuccaid.Bytes
	// CallerConnections is the number of open connections of callers.
	CallerConnections int
	// IdleConnections is the number of idle connections to targets that are kept open.
	IdleConnections int
}

// BoundsOf divides the memory and the descriptors of a process among their uses.
func BoundsOf(limits ProcessLimits) Bounds {
	bounds := Bounds{
		RequestMemory: yuccaid.Bytes(requestMemoryShare * float64(limits.Memory)),
		HeadMemory:    yuccaid.Bytes(headMemoryShare * float64(limits.Memory)),
	}
	if limits.Descriptors > 0 {
		socketDescriptors := float64(limits.Descriptors - nonSocketDescriptors)
		bounds.CallerConnections = max(int(callerConnectionShare*socketDescriptors), minConnections)
		bounds.IdleConnections = max(int(idleConnectionShare*socketDescriptors), minConnections)
	}
	return bounds
}

// MemoryLimiter counts the memory that is reserved for requests. It isn't safe for concurrent use.
// The zero value has no limit.
type MemoryLimiter struct {
	limit    yuccaid.Bytes
	reserved yuccaid.Bytes
}

// New returns a limiter for the given amount of memory; zero means no limit.
func New(limit yuccaid.Bytes) *MemoryLimiter {
	return &MemoryLimiter{limit: limit}
}

// HasRoom reports whether enough memory is left for a request of the given rank. Rank 0 is the most
// urgent.
func (mem *MemoryLimiter) HasRoom(rank int, size yuccaid.Bytes) bool {
	available := float64(mem.limit) * (1 - rankReserve*float64(min(max(rank, 0), maxReservedRanks)))
	return mem.limit <= 0 || float64(mem.reserved+size) <= available
}

// Reserve reserves memory for a request and reports whether enough was left for its rank.
func (mem *MemoryLimiter) Reserve(rank int, size yuccaid.Bytes) bool {
	if !mem.HasRoom(rank, size) {
		return false
	}
	mem.reserved += size
	return true
}

// Release returns memory that Reserve has reserved.
func (mem *MemoryLimiter) Release(size yuccaid.Bytes) {
	mem.reserved -= size
}

// Reserved returns how much memory is reserved.
func (mem *MemoryLimiter) Reserved() yuccaid.Bytes { return mem.reserved }
