package yuccacold

import "time"

const (
	// deliveryVariation is by how much the time from a request's grant to its arrival at the target may differ between
	// requests. What is granted a second apart would otherwise arrive within one second.
	deliveryVariation = 50 * time.Millisecond
	// countedFor is how long a request counts after it was sent.
	countedFor = time.Second + deliveryVariation
)

// Sends records when one daemon sent requests to one target. The zero value has none.
type Sends struct {
	// times holds the times of the requests that count and of some earlier ones, and last is the latest of all.
	times []time.Time
	last  time.Time
}

// Record records that a request was sent at a time, which is now or earlier.
func (sn *Sends) Record(now, sent time.Time) {
	kept := sn.times[:0]
	for _, each := range sn.times {
		if now.Sub(each) < countedFor {
			kept = append(kept, each)
		}
	}
	sn.times = append(kept, sent)
	if sent.After(sn.last) {
		sn.last = sent
	}
}

// Merge adds the sends that another daemon has recorded.
func (sn *Sends) Merge(now time.Time, other *Sends) {
	for _, each := range other.Recent(now) {
		sn.Record(now, each)
	}
}

// Recent returns when the requests that count were sent.
func (sn *Sends) Recent(now time.Time) []time.Time {
	var recent []time.Time
	for _, each := range sn.times {
		if now.Sub(each) < countedFor {
			recent = append(recent, each)
		}
	}
	return recent
}

// Count returns how many requests count, which are those of the last second and a little more.
func (sn *Sends) Count(now time.Time) int {
	count := 0
	for _, each := range sn.times {
		if now.Sub(each) < countedFor {
			count++
		}
	}
	return count
}
