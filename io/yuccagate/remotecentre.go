package yuccagate

import "time"

// remoteCentre is what is known about another data centre from its casts of usage.
type remoteCentre struct {
	// daemons is the number of daemons that the data centre itself sees, according to its last cast,
	// which was received at receivedAt.
	daemons    int
	receivedAt time.Time
	// mostDaemons is the largest such number, which was last received at mostAt. It is forgotten after
	// centreExpectedFor.
	mostDaemons int
	mostAt      time.Time
}

// updated returns what is known after a cast that states the number of daemons. The receiver is nil if
// nothing was known.
func (centre *remoteCentre) updated(now time.Time, daemons int) *remoteCentre {
	next := &remoteCentre{daemons: daemons, receivedAt: now, mostDaemons: daemons, mostAt: now}
	if centre != nil && centre.expected(now) > daemons {
		next.mostDaemons, next.mostAt = centre.mostDaemons, centre.mostAt
	}
	return next
}

// expected returns the number of daemons that may be running there. A daemon that the data centre no
// longer sees may be cut off from it and go on serving callers.
func (centre *remoteCentre) expected(now time.Time) int {
	if now.Sub(centre.mostAt) > centreExpectedFor {
		return centre.daemons
	}
	return centre.mostDaemons
}
