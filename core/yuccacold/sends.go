package yuccacold

import "time"

const (
	// deliveryVariation is by how much the time from a request's grant to its arrival at the target may differ between requests. What is
	// granted a second apart would else arrive within one second.
	deliveryVariation = 50 * time.Millisecond
	// window is the time in which requests are counted.
	window = time.Second + deliveryVariation
)

// Sends records when one daemon sent requests to one target. The zero value has none.
type Sends struct {
	// times holds the times of the last second and some earlier ones, and last is the latest of all.
	times []time.Time
	last  time.Time
}

// Record records that a request was sent at a time, which is now or earlier.
func (sn *Sends) Record(now, sent time.Time) {
	kept := sn.times[:0]
	for _, each := range sn.times {
		if now.Sub(each) < window {
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

// Recent returns the times of the sends of the last second.
func (sn *Sends) Recent(now time.Time) []time.Time {
	var recent []time.Time
	for _, each := range sn.times {
		if now.Sub(each) < window {
			recent = append(recent, each)
		}
	}
	return recent
}

// Count returns how many requests were sent in the last second.
func (sn *Sends) Count(now time.Time) int {
	count := 0
	for _, each := range sn.times {
		if now.Sub(each) < window {
			count++
		}
	}
	return count
}

// Budget is what one daemon may send to one target.
type Budget struct {
	// Limit is that of the target's pool. If it doesn't apply, there is no budget to keep.
	Limit Limit
	// PerSecond is how many requests the daemon may send the target in any second.
	PerSecond int
	// WhileCold reports whether the daemon may send the target requests while it is cold.
	WhileCold bool
}

// Allows reports whether a request may be sent to a target now. While the target is cold, its requests are spaced.
func (bud Budget) Allows(now time.Time, st *State, sn *Sends) bool {
	if sn.Count(now) >= bud.PerSecond {
		return false
	}
	if !st.Cold(now) {
		return true
	}
	return bud.WhileCold && now.Sub(sn.last) >= bud.spacing()
}

// spacing is the time between two requests to a cold target.
func (bud Budget) spacing() time.Duration {
	return time.Duration(float64(time.Second) / bud.Limit.Rate)
}
