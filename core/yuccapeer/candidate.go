package yuccapeer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// maxReceivedListings bounds what peers may tell of candidates: ten times the VMs of a large fleet.
const maxReceivedListings = 4096

// receivedListing is a candidate that a peer told of.
type receivedListing struct {
	Listing
	forgetAt time.Time
}

// SetListings replaces what the platform's list says. The list only names candidates: it
// lags, by a different time on each daemon, so a view that took members from it would
// differ from the others' for as long.
func (peers *Peers) SetListings(_ time.Time, listings []Listing) {
	peers.invalidate()
	clear(peers.listed)
	clear(peers.received)
	peers.self.Unlisted = false
	for _, listing := range listings {
		peers.listed[listing.VM] = listing
	}
}

// ListedLeaving reports whether the platform says that this daemon's own VM is leaving.
// The daemon that calls Leave then tells the others itself, so that all agree on it.
func (peers *Peers) ListedLeaving() bool {
	return peers.listed[peers.self.Incarnation.VM].Leaving
}

// AddListings adds candidates that a peer knows, for a daemon that can't read the platform's
// list. They are forgotten after Remember, since nobody says when such a VM is gone.
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

// Roster returns every candidate this daemon knows, itself included, for a peer that
// can't read the platform's list.
func (peers *Peers) Roster() []Listing {
	return slices.SortedFunc(maps.Values(peers.candidates()), compareListings)
}

// rosterSenders is how many daemons of a data centre send their roster to one that knows most
// of what they do.
const rosterSenders = 8

// sendsRosterTo reports whether this daemon sends its roster to an unlisted peer.
//
// In a fleet of three hundred each newcomer got a hundred rosters of three hundred names, more
// than everything else that is told. One that knows little gets the roster of whoever meets
// it. Later ones differ in what came about meanwhile: for that the rosters of a few are
// enough, and those of the seeds, whom everybody asks, so that no two daemons that start
// together miss each other.
func (peers *Peers) sendsRosterTo(beat *Heartbeat) bool {
	own := peers.self.Centre
	if beat.Centre != own || 2*beat.Knows < peers.candidateCount(own) || slices.Contains(peers.seeds, peers.self.Address) {
		return true
	}
	topic := "roster for " + string(beat.Incarnation.VM)
	mine := hashWeight(topic, string(peers.self.Incarnation.VM))
	better := 0
	for _, member := range peers.Live(own) {
		if member.VM != beat.Incarnation.VM && hashWeight(topic, string(member.VM)) > mine {
			better++
		}
	}
	return better < rosterSenders
}

// Candidates returns the VMs of a data centre that may run a daemon, live or not, in
// the order of their names. The list is the callers' to read, not to change.
func (peers *Peers) Candidates(centre yuccaid.Centre) []Listing {
	return cached(&peers.viewCache.candidates, centre, func() []Listing {
		return slices.DeleteFunc(peers.Roster(), func(listing Listing) bool {
			return listing.Centre != centre
		})
	})
}

// candidateCount is how many candidates a data centre has. Each greeting tells it, so it is counted
// without the sorted list.
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

// candidates joins the platform's list, what peers told, and who is heard.
func (peers *Peers) candidates() map[yuccaid.VM]Listing {
	all := maps.Clone(peers.listed)
	for vm, heard := range peers.received {
		all[vm] = heard.Listing
	}
	for vm, other := range peers.peers {
		if other.inView {
			all[vm] = listingOf(other.member)
		}
	}
	all[peers.self.Incarnation.VM] = listingOf(peers.Self())
	return all
}

func listingOf(member Member) Listing {
	return Listing{VM: member.VM, Centre: member.Centre, Address: member.Address, Leaving: member.Leaving}
}

func (listing Listing) member() Member {
	return Member{VM: listing.VM, Centre: listing.Centre, Address: listing.Address, Leaving: listing.Leaving}
}

func compareListings(a, b Listing) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Address, b.Address))
}
