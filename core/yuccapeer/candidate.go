package yuccapeer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// maxTold bounds what peers may tell of candidates: ten times the VMs of a large fleet.
const maxTold = 4096

// hearsay is a candidate that a peer told of.
type hearsay struct {
	Listing
	until time.Time
}

// Listed replaces what the platform's list says. The list only names candidates: it
// lags, by a different time on each daemon, so a view that took members from it would
// differ from the others' for as long.
func (peers *Peers) Listed(_ time.Time, listings []Listing) {
	peers.changed()
	clear(peers.listed)
	clear(peers.told)
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

// Told adds candidates that a peer knows, for a daemon that can't read the platform's
// list. They are forgotten after Remember, since nobody says when such a VM is gone.
func (peers *Peers) Told(now time.Time, listings []Listing) {
	if !peers.self.Unlisted {
		return
	}
	peers.changed()
	for _, listing := range listings {
		if len(peers.told) < maxTold {
			peers.told[listing.VM] = hearsay{Listing: listing, until: now.Add(peers.timing.Remember)}
		}
	}
}

// Roster returns every candidate this daemon knows, itself included, for a peer that
// can't read the platform's list.
func (peers *Peers) Roster() []Listing {
	return slices.SortedFunc(maps.Values(peers.candidates()), compareListings)
}

// Candidates returns the VMs of a data centre that may run a daemon, live or not, in
// the order of their names. The list is the callers' to read, not to change.
func (peers *Peers) Candidates(centre yuccaid.Centre) []Listing {
	return lookUp(&peers.derived.candidates, centre, func() []Listing {
		return slices.DeleteFunc(peers.Roster(), func(listing Listing) bool {
			return listing.Centre != centre
		})
	})
}

// candidates joins the platform's list, what peers told, and who is heard.
func (peers *Peers) candidates() map[yuccaid.VM]Listing {
	all := maps.Clone(peers.listed)
	for vm, heard := range peers.told {
		all[vm] = heard.Listing
	}
	for vm, other := range peers.peers {
		if other.known {
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
