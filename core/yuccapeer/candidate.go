package yuccapeer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// maxReceivedListings bounds the candidates received from peers. It is ten times the
// number of VMs of a large fleet.
const maxReceivedListings = 4096

// receivedListing is a candidate received from a peer, which is forgotten at forgetAt.
type receivedListing struct {
	Listing
	forgetAt time.Time
}

// SetListings replaces the platform's list of VMs and deletes the candidates received from
// peers. The list only names candidates, because it lags behind by a different time on each
// daemon. If the list decided who is a member, the views of two daemons would differ until
// both daemons have the same list.
func (peers *Peers) SetListings(_ time.Time, listings []Listing) {
	peers.invalidate()
	clear(peers.listed)
	clear(peers.received)
	peers.self.Unlisted = false
	for _, listing := range listings {
		peers.listed[listing.VM] = listing
	}
}

// ListedLeaving reports whether the platform's list marks this daemon's own VM as leaving.
// The caller then calls Leave, so that this daemon's heartbeats report it and all views
// agree on it.
func (peers *Peers) ListedLeaving() bool {
	return peers.listed[peers.self.Incarnation.VM].Leaving
}

// AddListings adds candidates received from a peer. It has no effect once this daemon has
// read the platform's list. The candidates are forgotten after ForgetAfter, because no
// message reports that such a VM has been removed.
func (peers *Peers) AddListings(now time.Time, listings []Listing) {
	if !peers.self.Unlisted {
		return
	}
	for _, listing := range listings {
		if peers.received[listing.VM].Listing != listing {
			peers.invalidate()
		}
		if len(peers.received) < maxReceivedListings {
			peers.received[listing.VM] = receivedListing{Listing: listing, forgetAt: now.Add(peers.timing.ForgetAfter)}
		}
	}
}

// AllCandidates returns all candidates that this daemon knows, itself included, in the order of
// their VMs' names. The result is this daemon's roster, which is sent to peers that can't
// read the platform's list. In this package a roster lists daemons; in package yuccaroster a
// roster lists targets.
func (peers *Peers) AllCandidates() []Listing {
	return slices.SortedFunc(maps.Values(peers.candidates()), compareListings)
}

// rosterSenders is how many daemons of a data centre send their roster to a peer of that data
// centre that already knows at least half of the candidates there. See sendsRosterTo.
const rosterSenders = 8

// sendsRosterTo reports whether this daemon sends its roster to the sender of a heartbeat,
// which hasn't read the platform's list.
//
// If all daemons sent their rosters, a new daemon in a fleet of 300 that connects to 100
// others would get 100 rosters of 300 names, more traffic than all other messages. A daemon
// that knows less than half of the candidates gets the roster of each daemon that it connects
// to. Later rosters only add what has changed meanwhile, so the rosters of rosterSenders
// daemons and of the seeds are enough. All daemons dial the seeds, so two daemons that start
// together always learn of each other. The limit of rosterSenders only applies within a data
// centre: a daemon of another data centre always gets the roster.
func (peers *Peers) sendsRosterTo(heartbeat *Heartbeat) bool {
	own := peers.self.Centre
	if heartbeat.Centre != own || 2*heartbeat.Knows < peers.candidateCount(own) || slices.Contains(peers.seeds, peers.self.Address) {
		return true
	}
	topic := "roster for " + string(heartbeat.Incarnation.VM)
	ownWeight := hashWeight(topic, string(peers.self.Incarnation.VM))
	heavier := 0
	for _, member := range peers.Live(own) {
		if member.VM != heartbeat.Incarnation.VM && hashWeight(topic, string(member.VM)) > ownWeight {
			heavier++
		}
	}
	return heavier < rosterSenders
}

// Candidates returns the VMs of a data centre that may run a daemon, live or not, in the
// order of their names. The slice is shared between callers and must not be modified.
func (peers *Peers) Candidates(centre yuccaid.Centre) []Listing {
	return cached(&peers.viewCache.candidates, centre, func() []Listing {
		return slices.DeleteFunc(peers.AllCandidates(), func(listing Listing) bool {
			return listing.Centre != centre
		})
	})
}

// candidateCount returns the number of a data centre's candidates. Each full heartbeat
// contains this number, so the candidates are counted without building the sorted list.
func (peers *Peers) candidateCount(centre yuccaid.Centre) int {
	return cached(&peers.viewCache.candidateCount, centre, func() int {
		count := 0
		for _, listing := range peers.candidates() {
			if listing.Centre == centre {
				count++
			}
		}
		return count
	})
}

// candidates merges the platform's list, the listings received from peers, the members in
// the view and this daemon. If several of these sources have a listing of the same VM, the
// last source in this order counts.
func (peers *Peers) candidates() map[yuccaid.VM]Listing {
	all := maps.Clone(peers.listed)
	for vm, candidate := range peers.received {
		all[vm] = candidate.Listing
	}
	for vm, other := range peers.byVM {
		if other.inView {
			all[vm] = listingOf(other.member)
		}
	}
	all[peers.self.Incarnation.VM] = listingOf(peers.Self())
	return all
}

// listingOf returns the listing of a member's VM.
func listingOf(member Member) Listing {
	return Listing{VM: member.VM, Centre: member.Centre, Address: member.Address, Leaving: member.Leaving}
}

// member returns the listing as a member of unknown incarnation.
func (listing Listing) member() Member {
	return Member{VM: listing.VM, Centre: listing.Centre, Address: listing.Address, Leaving: listing.Leaving}
}

// compareListings orders listings by their VM's name, then by their address.
func compareListings(a, b Listing) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Address, b.Address))
}
