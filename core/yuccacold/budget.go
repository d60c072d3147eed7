package yuccacold

import "time"

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
