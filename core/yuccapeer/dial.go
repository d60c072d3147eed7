package yuccapeer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// wish is the VM of another data centre that this daemon wants a connection to.
type wish struct {
	vm    yuccaid.VM
	since time.Time
	// tried are VMs that did not answer in time; they come last.
	tried map[yuccaid.VM]bool
}

// Dial returns the addresses that this daemon wants control connections to: all of
// its own data centre, and of each other data centre one, if it is a gateway there.
func (peers *Peers) Dial() []string {
	addresses := make(map[string]bool)
	for _, listing := range peers.candidates() {
		if listing.Centre == peers.self.Centre {
			addresses[listing.Address] = true
		}
	}
	for _, wanted := range peers.wishes {
		addresses[peers.candidates()[wanted.vm].Address] = true
	}
	if len(addresses) <= 1 {
		for _, seed := range peers.seeds {
			addresses[seed] = true
		}
	}
	delete(addresses, peers.self.Address)
	delete(addresses, "")
	return slices.Sorted(maps.Keys(addresses))
}

// Candidates returns the VMs of a data centre that may run a daemon, live or not, in
// the order of their names.
func (peers *Peers) Candidates(centre yuccaid.Centre) []Listing {
	var found []Listing
	for _, listing := range peers.candidates() {
		if listing.Centre == centre {
			found = append(found, listing)
		}
	}
	slices.SortFunc(found, compareListings)
	return found
}

// candidates joins the platform's list, what peers told, and who is heard.
func (peers *Peers) candidates() map[yuccaid.VM]Listing {
	all := maps.Clone(peers.told)
	maps.Copy(all, peers.listed)
	for vm, other := range peers.peers {
		if other.known {
			all[vm] = listingOf(other.member)
		}
	}
	all[peers.self.Incarnation.VM] = listingOf(peers.Self())
	return all
}

// reconsider decides anew which other data centres this daemon is a gateway to.
//
// The gateways into a data centre are the live daemons with the greatest weights for
// its name, so the choice is alike everywhere, spreads over the daemons, and moves on
// when one dies.
func (peers *Peers) reconsider(now time.Time) {
	byCentre := make(map[yuccaid.Centre][]Listing)
	for _, listing := range peers.candidates() {
		byCentre[listing.Centre] = append(byCentre[listing.Centre], listing)
	}
	own := peers.gatewayCandidates(byCentre[peers.self.Centre])
	delete(byCentre, peers.self.Centre)
	delete(byCentre, "")
	for centre := range peers.wishes {
		if byCentre[centre] == nil {
			delete(peers.wishes, centre)
		}
	}
	for centre, others := range byCentre {
		if !peers.isGateway(own, centre) {
			delete(peers.wishes, centre)
			continue
		}
		peers.want(now, centre, others)
	}
}

// gatewayCandidates are the live members once the view has settled. Before that this
// daemon sees only itself and would dial everywhere, so the list has to do.
func (peers *Peers) gatewayCandidates(listed []Listing) []yuccaid.VM {
	var vms []yuccaid.VM
	if !peers.Settled() {
		for _, listing := range listed {
			vms = append(vms, listing.VM)
		}
		return vms
	}
	for _, member := range peers.Live(peers.self.Centre) {
		vms = append(vms, member.VM)
	}
	return vms
}

func (peers *Peers) isGateway(own []yuccaid.VM, centre yuccaid.Centre) bool {
	ranked := rank(own, "gateway to "+string(centre))
	place := slices.Index(ranked, peers.self.Incarnation.VM)
	return place >= 0 && place < peers.gateways
}

// want keeps or moves the wish for a VM of another data centre.
func (peers *Peers) want(now time.Time, centre yuccaid.Centre, others []Listing) {
	wanted := peers.wishes[centre]
	if wanted == nil {
		wanted = &wish{tried: make(map[yuccaid.VM]bool)}
		peers.wishes[centre] = wanted
	}
	still := slices.ContainsFunc(others, func(listing Listing) bool {
		return listing.VM == wanted.vm && !listing.Leaving
	})
	if still && peers.reaches(wanted.vm) {
		wanted.since = now
		clear(wanted.tried)
		return
	}
	if still && now.Sub(wanted.since) < peers.timing.Patience {
		return
	}
	wanted.tried[wanted.vm] = true
	wanted.vm = peers.choose(wanted, others)
	wanted.since = now
}

func (peers *Peers) reaches(vm yuccaid.VM) bool {
	other := peers.peers[vm]
	return other != nil && other.known && peers.isLinked(other.member.Incarnation)
}

// choose takes the untried VM with the greatest weight for this daemon, so that the
// gateways of a data centre spread over the other's VMs.
func (peers *Peers) choose(wanted *wish, others []Listing) yuccaid.VM {
	var vms []yuccaid.VM
	for _, listing := range others {
		if !listing.Leaving {
			vms = append(vms, listing.VM)
		}
	}
	ranked := rank(vms, "gateway from "+string(peers.self.Incarnation.VM))
	for _, vm := range ranked {
		if !wanted.tried[vm] {
			return vm
		}
	}
	clear(wanted.tried)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// rank sorts VMs by their weight for the topic, the greatest first.
func rank(vms []yuccaid.VM, topic string) []yuccaid.VM {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b yuccaid.VM) int {
		return cmp.Or(
			cmp.Compare(weigh(topic, string(b)), weigh(topic, string(a))),
			cmp.Compare(a, b),
		)
	})
	return ranked
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
