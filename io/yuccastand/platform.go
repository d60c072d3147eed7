package yuccastand

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the platform's service.
const (
	// MaxValue is the largest value that the service holds, and what one page of a
	// watch carries.
	MaxValue = 1 << 20
	// DefaultReads is how many calls a second are answered, over all readers.
	DefaultReads = 2000

	headerRevision = "X-Revision"
	maxWait        = time.Minute
	vmHistoryLimit = 1024
)

// States of a VM in the platform's list.
const (
	vmLive    = "live"
	vmLeaving = "leaving"
)

// VMEntry is one line of the platform's list of VMs.
type VMEntry struct {
	VM      string `json:"vm"`
	Centre  string `json:"centre"`
	Address string `json:"address"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
}

// PlatformFaults are the switches of the platform's service; the zero value has none.
type PlatformFaults struct {
	// Down hangs up on every call, waiting ones too.
	Down bool `json:"down"`
	// Mute takes calls and never answers them; waiting ones stay silent too, for good.
	Mute bool `json:"mute"`
	// StaleRevision serves the keys as of that revision, so the service goes backwards
	// if callers have seen a later one; 0 serves the present.
	StaleRevision int64 `json:"staleRevision"`
	// ListLagMillis serves the list of VMs as it was that long ago.
	ListLagMillis int64 `json:"listLagMillis"`
}

// Counts are the calls that the platform's service has had.
type Counts struct {
	Calls   int64 `json:"calls"`
	Watches int64 `json:"watches"`
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	// Limited counts calls answered with 429, Down those that were hung up on.
	Limited int64 `json:"limited"`
	Down    int64 `json:"down"`
	// Silent counts calls that a mute service has left unanswered.
	Silent int64 `json:"silent"`
	// Waiting is how many watches wait now.
	Waiting int64 `json:"waiting"`
}

// TooLargeError says that a value is larger than the service holds.
type TooLargeError struct {
	Key  string
	Size int
}

// Error names the limit.
func (err *TooLargeError) Error() string {
	return fmt.Sprintf("value of key %q has %d bytes: split it into parts of at most %d", err.Key, err.Size, MaxValue)
}

// PlatformOption changes a platform service before it starts.
type PlatformOption func(*Platform)

// WithReadRate sets the calls per second that are answered, and the burst.
func WithReadRate(perSecond float64, burst int) PlatformOption {
	return func(plat *Platform) { plat.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// Platform stands in for the platform's configuration service and its list of VMs.
type Platform struct {
	*host
	limiter *rate.Limiter

	mu      sync.Mutex
	store   keyStore
	lists   []vmList
	faults  PlatformFaults
	counts  Counts
	changed chan struct{}
}

// vmList is the list of VMs from a time on.
type vmList struct {
	since time.Time
	vms   []VMEntry
}

// NewPlatform starts a platform service on the listener.
func NewPlatform(listener net.Listener, options ...PlatformOption) *Platform {
	plat := &Platform{
		host:    newHost(listener),
		limiter: rate.NewLimiter(DefaultReads, DefaultReads),
		changed: make(chan struct{}),
	}
	for _, option := range options {
		option(plat)
	}
	plat.routes()
	plat.start()
	return plat
}

// Put sets a key and returns the revision.
func (plat *Platform) Put(key string, value []byte) (int64, error) {
	if len(value) > MaxValue {
		return 0, &TooLargeError{Key: key, Size: len(value)}
	}
	plat.mu.Lock()
	defer plat.mu.Unlock()
	defer plat.notify()
	return plat.store.set(key, value, false), nil
}

// Remove takes a key away and returns the revision.
func (plat *Platform) Remove(key string) int64 {
	plat.mu.Lock()
	defer plat.mu.Unlock()
	defer plat.notify()
	return plat.store.set(key, nil, true)
}

// SetVMs replaces the list of VMs, which callers see once the lag has passed.
func (plat *Platform) SetVMs(vms []VMEntry) {
	plat.mu.Lock()
	defer plat.mu.Unlock()
	plat.lists = append(plat.lists, vmList{since: time.Now(), vms: vms})
	if len(plat.lists) > vmHistoryLimit {
		plat.lists = plat.lists[1:]
	}
}

// SetFaults replaces all switches and wakes the waiting watches.
func (plat *Platform) SetFaults(faults PlatformFaults) {
	plat.mu.Lock()
	defer plat.mu.Unlock()
	plat.faults = faults
	plat.notify()
}

// Counts returns the calls so far.
func (plat *Platform) Counts() Counts {
	plat.mu.Lock()
	defer plat.mu.Unlock()
	return plat.counts
}

func (plat *Platform) notify() {
	close(plat.changed)
	plat.changed = make(chan struct{})
}

// served returns the revision that readers see now.
func (plat *Platform) served() int64 {
	revision := plat.store.revision()
	if plat.faults.StaleRevision > 0 {
		return min(revision, plat.faults.StaleRevision)
	}
	return revision
}

// listed returns the list of VMs that is as old as the lag, or the first one there was.
func (plat *Platform) listed(now time.Time) []VMEntry {
	if len(plat.lists) == 0 {
		return []VMEntry{}
	}
	seen := now.Add(-time.Duration(plat.faults.ListLagMillis) * time.Millisecond)
	found := plat.lists[0]
	for _, list := range plat.lists {
		if !list.since.After(seen) {
			found = list
		}
	}
	return found.vms
}
