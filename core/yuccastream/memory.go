package yuccastream

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

const (
	// MaxRetention is the longest time for which an origin is remembered. A stream that takes longer
	// can't be taken up.
	MaxRetention = 10 * time.Minute
	// maxRecords bounds the memory. It is ten times what a daemon of the largest fleet holds.
	maxRecords = 1 << 16
	// expiryInterval is the time between two searches for origins that have expired.
	expiryInterval = time.Second
)

// Key identifies a stream: a hash of the account and of the id of the request that brought its first
// event. The account is part of it, so that no caller can refer to a stream of another account.
type Key uint64

// UnknownKey is the key of all streams of which it isn't known which request began them. Nothing is
// remembered under it.
const UnknownKey Key = 0

// NewKey returns the key of the stream that a request of an account began, UnknownKey if the id of that
// request is empty.
func NewKey(account yuccaid.Account, request string) Key {
	if request == "" {
		return UnknownKey
	}
	return Key(xxhash.Sum64String(string(account) + "\x00" + request))
}

// NewPartKey returns the key of the streams of an account whose prompts end with the part, for callers that don't tell which
// request began the stream that they take up. If the part belongs to a session, its streams share the key. It returns UnknownKey if
// there is no part.
func NewPartKey(account yuccaid.Account, part PartKey) Key {
	if part == 0 {
		return UnknownKey
	}
	return Key(xxhash.Sum64String(string(account) + "\x00part\x00" + strconv.FormatUint(uint64(part), 16)))
}

// Origin is where a stream began. The version is empty if it isn't certain; then no target can
// continue the stream.
type Origin struct {
	Pool    yuccaid.Pool
	Version yuccaid.Version
}

// Record is the origin of a stream, which is remembered for the duration.
type Record struct {
	Key    Key
	Origin Origin
	For    time.Duration
}

// Memory holds the origins of streams. The zero value is an empty memory. It isn't safe for concurrent
// use.
type Memory struct {
	records map[Key]*memorized
	// unsent are the streams of this daemon whose origins haven't been passed on.
	unsent    map[Key]bool
	expiredAt time.Time
}

// memorized is a remembered origin. Target and begunAt are set for the streams of this daemon.
type memorized struct {
	origin    Origin
	expiresAt time.Time
	target    yuccaid.Target
	begunAt   time.Time
}

// Len returns the number of remembered origins.
func (mem *Memory) Len() int { return len(mem.records) }

// Begin remembers the origin of a stream of this daemon, whose first event came from the target. It is
// to be passed on (see TakeUnsent).
func (mem *Memory) Begin(now time.Time, rec Record, target yuccaid.Target) {
	if rec.Key == UnknownKey {
		return
	}
	mem.Put(now, rec)
	mem.records[rec.Key].target = target
	mem.records[rec.Key].begunAt = now
	mem.unsent[rec.Key] = true
}

// Put remembers an origin, and reports whether that is news. If another origin is known for the
// stream, its version isn't certain any more.
func (mem *Memory) Put(now time.Time, rec Record) bool {
	if rec.Key == UnknownKey {
		return false
	}
	expiresAt := now.Add(min(rec.For, MaxRetention))
	known := mem.records[rec.Key]
	if known == nil {
		mem.add(rec.Key, &memorized{origin: rec.Origin, expiresAt: expiresAt})
		return true
	}
	before := known.origin
	if known.origin != rec.Origin {
		known.origin.Version = ""
	}
	if expiresAt.After(known.expiresAt) {
		known.expiresAt = expiresAt
	}
	return known.origin != before
}

// add adds a record. If the memory is full, any other one is forgotten: the stream can then only go
// on where History tells its version.
func (mem *Memory) add(key Key, rec *memorized) {
	if mem.records == nil {
		mem.records = make(map[Key]*memorized)
		mem.unsent = make(map[Key]bool)
	}
	if len(mem.records) >= maxRecords {
		for other := range mem.records {
			mem.forget(other)
			break
		}
	}
	mem.records[key] = rec
}

func (mem *Memory) forget(key Key) {
	delete(mem.records, key)
	delete(mem.unsent, key)
}

// Find returns the origin of a stream, and false if it isn't remembered.
func (mem *Memory) Find(now time.Time, key Key) (Origin, bool) {
	rec := mem.records[key]
	if rec == nil || !now.Before(rec.expiresAt) {
		return Origin{}, false
	}
	return rec.origin, true
}

// Doubt marks the versions of this daemon's streams as uncertain that began at a target since a time.
// It is called when the target turns out to run another version than was assumed, because it has
// restarted under its name.
func (mem *Memory) Doubt(target yuccaid.Target, since time.Time) {
	for key, rec := range mem.records {
		if rec.target == target && rec.begunAt.After(since) && rec.origin.Version != "" {
			rec.origin.Version = ""
			mem.unsent[key] = true
		}
	}
}

// TakeUnsent returns the origins of this daemon's streams that haven't been passed on and are due. Each
// is returned once.
func (mem *Memory) TakeUnsent(now time.Time, due func(Origin) bool) []Record {
	var list []Record
	for key := range mem.unsent {
		rec := mem.records[key]
		if due(rec.origin) {
			delete(mem.unsent, key)
			list = append(list, Record{Key: key, Origin: rec.origin, For: rec.expiresAt.Sub(now)})
		}
	}
	return list
}

// Expire forgets origins whose time has passed.
func (mem *Memory) Expire(now time.Time) {
	if now.Sub(mem.expiredAt) < expiryInterval {
		return
	}
	mem.expiredAt = now
	for key, rec := range mem.records {
		if !now.Before(rec.expiresAt) {
			mem.forget(key)
		}
	}
}
