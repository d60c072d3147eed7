package yuccaroster

import "time"

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
