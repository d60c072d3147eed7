package yuccapeer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// gatewayLink is the VM of another data centre to which this daemon, as a gateway, keeps or
// tries to make a connection.
type gatewayLink struct {
	vm yuccaid.VM
	// since is when the connection was last up, or when this daemon began to dial the VM.
	since time.Time
	// tried are the VMs that could not be reached within GatewayConnectTimeout. They are
	// dialled again once all VMs of the data centre have been tried.
	tried map[yuccaid.VM]bool
}

// WantedConnections returns the addresses that this daemon must have a control connection to.
// They are the addresses of all candidates of its own data centre, one address in each data
// centre that it is a gateway to, and the seeds that are still to be dialled. The slice is shared
// between callers and must not be modified.
func (peers *Peers) WantedConnections() []string {
	if peers.wantedStale {
		peers.wanted, peers.wantedStale = peers.findWantedConnections(), false
	}
	return peers.wanted
}

func (peers *Peers) findWantedConnections() []string {
	candidates := peers.candidates()
	addresses := make(map[string]bool)
	for vm, listing := range candidates {
		if listing.Centre == peers.self.Centre {
			addresses[listing.Address] = true
			// If the platform's list has another address for the VM, the candidate's address
			// may be the address of a replaced process. The successor of that process then
			// listens at the address in the list.
			addresses[peers.listed[vm].Address] = true
		}
	}
	for _, link := range peers.gatewayLinks {
		addresses[candidates[link.vm].Address] = true
	}
	for _, seed := range peers.unknownSeeds(candidates) {
		addresses[seed] = true
	}
	delete(addresses, peers.self.Address)
	// A VM that isn't in the list, and a link without a VM, have added an empty address.
	delete(addresses, "")
	return slices.Sorted(maps.Keys(addresses))
}

// unknownSeeds returns the seeds that aren't the address of any candidate. Once the
// platform's list has been read, it returns none.
//
// Seeds are dialled even when a candidate of this data centre is known, because they also
// lead to other data centres: if a daemon stopped dialling them once it had found a daemon
// of its own data centre, data centres would never learn of one another. Seeds that are
// candidates are left out, because otherwise every daemon of the fleet would hold a
// connection to each seed.
func (peers *Peers) unknownSeeds(candidates map[yuccaid.VM]Listing) []string {
	if !peers.self.Unlisted {
		return nil
	}
	known := make(map[string]bool, len(candidates))
	for _, listing := range candidates {
		known[listing.Address] = true
	}
	return slices.DeleteFunc(slices.Clone(peers.seeds), func(seed string) bool { return known[seed] })
}

// isConnectedToVM reports whether the daemon on a VM is in the view and connected to this
// daemon.
func (peers *Peers) isConnectedToVM(vm yuccaid.VM) bool {
	other := peers.byVM[vm]
	return other != nil && other.inView && peers.isConnected(other.member.Incarnation)
}

// updateGatewayLinks updates which other data centres this daemon is a gateway to, and the VM
// that it dials in each. The dial plan is only made again when the candidates, the view or
// the result of Settled have changed. Making the plan takes half a millisecond with 400 VMs,
// too much for a small VM to spend at each heartbeat.
func (peers *Peers) updateGatewayLinks(now time.Time) {
	if settled := peers.Settled(); peers.dialPlan == nil || peers.dialPlanStale || peers.dialPlanSettled != settled {
		peers.dialPlan = peers.makeDialPlan()
		peers.dialPlanStale = false
		peers.dialPlanSettled = settled
	}
	maps.DeleteFunc(peers.gatewayLinks, func(centre yuccaid.Centre, _ *gatewayLink) bool {
		gone := peers.dialPlan[centre] == nil
		peers.wantedStale = peers.wantedStale || gone
		return gone
	})
	for centre, order := range peers.dialPlan {
		peers.updateGatewayLink(now, centre, order)
	}
}

// makeDialPlan returns, for each data centre that this daemon is a gateway to, the VMs there
// in the order in which they should be dialled. It also sets gatewayVMs.
func (peers *Peers) makeDialPlan() map[yuccaid.Centre][]yuccaid.VM {
	byCentre := make(map[yuccaid.Centre][]yuccaid.VM)
	for vm, listing := range peers.candidates() {
		if listing.Centre != "" && !listing.Leaving {
			byCentre[listing.Centre] = append(byCentre[listing.Centre], vm)
		}
	}
	own := peers.self.Centre
	if peers.Settled() {
		// Until this daemon has settled, its view may hold no other daemon, and this daemon
		// would become a gateway to every data centre. So the candidates are used until then.
		byCentre[own] = vmsOf(peers.Live(own))
	}
	plan := make(map[yuccaid.Centre][]yuccaid.VM)
	clear(peers.gatewayVMs)
	peers.viewCache.gateways = nil
	for centre, gateways := range peers.assignGateways(byCentre, own) {
		for _, vm := range gateways {
			peers.gatewayVMs[vm] = true
		}
		if index := slices.Index(gateways, peers.self.Incarnation.VM); index >= 0 {
			plan[centre] = peers.dialOrder(byCentre, centre, index)
		}
	}
	return plan
}

// Gateways returns the live daemons of this data centre that hold the connections to other
// data centres, according to this daemon's view. While views differ, a gateway may be missing.
func (peers *Peers) Gateways() []Member {
	own := peers.self.Centre
	return cached(&peers.viewCache.gateways, own, func() []Member {
		return peers.members(func(member Member) bool {
			return member.Centre == own && peers.gatewayVMs[member.Incarnation.VM]
		})
	})
}

// assignGateways returns a data centre's gateways to each other data centre.
//
// With rendezvous hashing all daemons make the same choice, and it stays the same when
// other daemons join or leave. Hashing alone would give some daemons several times as
// many links as others, and each link costs heartbeats. So a daemon that already has
// evenShare links is only picked for a further link when no daemon with fewer links is left.
func (peers *Peers) assignGateways(byCentre map[yuccaid.Centre][]yuccaid.VM, from yuccaid.Centre) map[yuccaid.Centre][]yuccaid.VM {
	vms := byCentre[from]
	otherCentres := slices.DeleteFunc(slices.Sorted(maps.Keys(byCentre)), func(centre yuccaid.Centre) bool {
		return centre == from
	})
	assigned := make(map[yuccaid.Centre][]yuccaid.VM, len(otherCentres))
	if len(vms) == 0 {
		return assigned
	}
	evenShare := (peers.gatewayCount*len(otherCentres) + len(vms) - 1) / len(vms)
	linkCount := make(map[yuccaid.VM]int, len(vms))
	for _, centre := range otherCentres {
		ranked := sortByHash(vms, "gateway to "+string(centre))
		slices.SortStableFunc(ranked, func(a, b yuccaid.VM) int {
			return cmp.Compare(max(linkCount[a]+1, evenShare), max(linkCount[b]+1, evenShare))
		})
		picked := ranked[:min(peers.gatewayCount, len(ranked))]
		for _, vm := range picked {
			linkCount[vm]++
		}
		assigned[centre] = picked
	}
	return assigned
}

// dialOrder returns another data centre's VMs in the order in which this daemon dials them,
// given this daemon's index among its own data centre's gateways. The first is the other data
// centre's gateway with the same index. That gateway dials this daemon too, so the two
// gateways need only one connection. Then come the other gateways of the other data centre,
// then all other VMs there.
func (peers *Peers) dialOrder(byCentre map[yuccaid.Centre][]yuccaid.VM, centre yuccaid.Centre, index int) []yuccaid.VM {
	order := slices.Clone(peers.assignGateways(byCentre, centre)[peers.self.Centre])
	if index < len(order) {
		order[0], order[index] = order[index], order[0]
	}
	for _, vm := range sortByHash(byCentre[centre], "gateway to "+string(peers.self.Centre)) {
		if !slices.Contains(order, vm) {
			order = append(order, vm)
		}
	}
	return order
}

// updateGatewayLink updates which VM of another data centre this daemon dials. It keeps the
// current VM while that VM is connected, and for GatewayConnectTimeout after the VM was last
// connected or first dialled. After that, or at once if the VM is no longer in the order, it
// switches to the next VM in the order that hasn't been tried yet.
func (peers *Peers) updateGatewayLink(now time.Time, centre yuccaid.Centre, order []yuccaid.VM) {
	link := peers.gatewayLinks[centre]
	if link == nil {
		link = &gatewayLink{tried: make(map[yuccaid.VM]bool)}
		peers.gatewayLinks[centre] = link
	}
	if slices.Contains(order, link.vm) {
		if peers.isConnectedToVM(link.vm) {
			link.since = now
			clear(link.tried)
			return
		}
		if now.Sub(link.since) < peers.timing.GatewayConnectTimeout {
			return
		}
	}
	link.tried[link.vm] = true
	link.vm = link.nextVM(order)
	peers.wantedStale = true
	link.since = now
}

// nextVM returns the first VM in the order that hasn't been tried. Once all VMs have been
// tried, it starts again at the first VM. It returns "" if the order is empty.
func (link *gatewayLink) nextVM(order []yuccaid.VM) yuccaid.VM {
	for _, vm := range order {
		if !link.tried[vm] {
			return vm
		}
	}
	clear(link.tried)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// sortByHash returns the VMs sorted by their hash weight for the topic, the greatest first.
func sortByHash(vms []yuccaid.VM, topic string) []yuccaid.VM {
	weights := make(map[yuccaid.VM]uint64, len(vms))
	for _, vm := range vms {
		weights[vm] = hashWeight(topic, string(vm))
	}
	return slices.SortedFunc(slices.Values(vms), func(a, b yuccaid.VM) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
}

// vmsOf returns the VMs of members.
func vmsOf(members []Member) []yuccaid.VM {
	vms := make([]yuccaid.VM, 0, len(members))
	for _, member := range members {
		vms = append(vms, member.VM)
	}
	return vms
}
