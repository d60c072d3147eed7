package yuccaroster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

const (
	// StaleAfter is the age of the platform's last response to the daemon that reads it for a data
	// centre at which other daemons read the platform as well. It is slightly longer than one of the
	// reader's calls takes when nothing changes.
	StaleAfter = 1700 * time.Millisecond
	// firstReaders is the number of daemons that read the platform once its last response is as old
	// as StaleAfter, the regular reader included. The number doubles with each further
	// readersDoubleEvery.
	firstReaders       = 3
	readersDoubleEvery = time.Second
)

// Readers returns how many daemons of a data centre read the platform when its last response to any
// of them is of the given age.
func Readers(age time.Duration) int {
	if age < StaleAfter {
		return 1
	}
	// The shift is bounded because the number would otherwise overflow.
	return firstReaders << min((age-StaleAfter)/readersDoubleEvery, 16)
}

// Reader is a daemon that reads the platform.
type Reader struct {
	Centre yuccaid.Centre
	VM     yuccaid.VM
}

// Precedes reports whether the daemon is preferred to another one as the reader of the whole fleet.
// Data centres are compared first, so that a data centre's own order of readers applies within it.
// The order is the same on all daemons, without any message between them.
func (rd Reader) Precedes(other Reader) bool {
	if rd.Centre != other.Centre {
		return weight(string(rd.Centre)) > weight(string(other.Centre))
	}
	return weight(string(rd.VM)) > weight(string(other.VM))
}

// weight returns the weight of a data centre or VM in the order of readers.
func weight(name string) uint64 { return xxhash.Sum64String("reader of the platform\x00" + name) }
