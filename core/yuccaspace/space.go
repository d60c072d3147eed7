package yuccaspace

import "yuccacleat/core/yuccaid"

const (
	// RequestOverhead is what a request under way takes beside its body: two connections with
	// their buffers, goroutines, the heads of request and answer, and an event that its caller
	// hasn't read. Measured with 700 streams of 16 KB events whose callers read nothing: 112 KB
	// of resident memory for each in two runs, part of which the collector had not freed yet.
	RequestOverhead yuccaid.Bytes = 64 << 10

	// requestsPart is the part of a machine's memory that requests under way may take. The
	// rest is for the program, the configuration, idle connections and what the collector
	// hasn't freed yet: it lets a heap grow to some twice of what is in use.
	requestsPart = 0.4
	// rankKept is the part of that which is kept from each rank for the ranks above it, down
	// to mostRanks below the first, so that letters with long prompts never shut out an
	// urgent note.
	rankKept  = 0.1
	mostRanks = 3

	// files are the descriptors that aren't for sockets.
	files = 200
	// callersPart of the descriptors are for callers, and as many are left for what their
	// requests hold at targets. unusedPart are for connections to targets that wait to be used
	// again. What remains is for peers, the platform, operators and what is just closing.
	callersPart = 0.4
	unusedPart  = 0.08
	// fewest keeps a daemon working whose settings name a machine that is too small.
	fewest = 16
)

// ProcessLimits is what one daemon's process may use; zero stands for no bound.
type ProcessLimits struct {
	Memory      yuccaid.Bytes
	Descriptors int
}

// Bounds is what a daemon may hold at once; zero stands for no bound.
type Bounds struct {
	// RequestMemory is the memory of requests under way.
	RequestMemory yuccaid.Bytes
	// CallerConnections is how many connections callers may have open.
	CallerConnections int
	// IdleConnections is how many unused connections to targets may be kept.
	IdleConnections int
}

// BoundsOf divides a machine between the uses of it.
func BoundsOf(machine ProcessLimits) Bounds {
	bounds := Bounds{RequestMemory: yuccaid.Bytes(requestsPart * float64(machine.Memory))}
	if machine.Descriptors > 0 {
		sockets := float64(machine.Descriptors - files)
		bounds.CallerConnections = max(int(callersPart*sockets), fewest)
		bounds.IdleConnections = max(int(unusedPart*sockets), fewest)
	}
	return bounds
}

// MemoryLimiter lends memory to requests. It isn't safe for concurrent use; the zero value has no
// bound.
type MemoryLimiter struct {
	limit yuccaid.Bytes
	taken yuccaid.Bytes
}

// New returns a space of so much memory; zero stands for no bound.
func New(limit yuccaid.Bytes) *MemoryLimiter {
	return &MemoryLimiter{limit: limit}
}

// Reserve lends memory to a request, or reports that there is none for its rank. Rank 0 is the
// most urgent.
func (sp *MemoryLimiter) Reserve(rank int, size yuccaid.Bytes) bool {
	open := float64(sp.limit) * (1 - rankKept*float64(min(max(rank, 0), mostRanks)))
	if sp.limit > 0 && float64(sp.taken+size) > open {
		return false
	}
	sp.taken += size
	return true
}

// Release takes lent memory back.
func (sp *MemoryLimiter) Release(size yuccaid.Bytes) {
	sp.taken -= size
}

// Reserved returns how much is lent.
func (sp *MemoryLimiter) Reserved() yuccaid.Bytes { return sp.taken }
