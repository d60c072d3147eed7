package yuccapeer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// gatewayLink is the VM of another data centre that this daemon wants a connection to.
type gatewayLink struct {
	vm    yuccaid.VM
	since time.Time
	// tried are VMs that did not answer in time; they come last.
	tried map[yuccaid.VM]bool
}

// Dial returns the addresses that this daemon wants control connections to: all of
// its own data centre, and of each other data centre one, if it is a gateway there.
func (peers *Peers) Dial() []string {
	candidates := peers.candidates()
	addresses := make(map[string]bool)
	for vm, listing := range candidates {
		if listing.Centre == peers.self.Centre {
			addresses[listing.Address] = true
			// Where the list names another address, a replaced process may have been
			// heard at the one we know, and its successor waits at the other.
			addresses[peers.listed[vm].Address] = true
		}
	}
	for _, wanted := range peers.gatewayLinks {
		addresses[candidates[wanted.vm].Address] = true
	}
	for _, seed := range peers.unknownSeeds(candidates) {
		addresses[seed] = true
	}
	delete(addresses, peers.self.Address)
	delete(addresses, "")
	return slices.Sorted(maps.Keys(addresses))
}

// unknownSeeds returns the seeds that nobody has named as a daemon's address, as long as there
// is no list. They lead to the daemons of other data centres too: a data centre whose
// daemons stopped at the first of their own would never learn that there are others. Seeds
// that were always dialled would end up with a connection from every daemon.
func (peers *Peers) unknownSeeds(candidates map[yuccaid.VM]Listing) []string {
	if !peers.self.Unlisted {
		return nil
	}
	met := make(map[string]bool, len(candidates))
	for _, listing := range candidates {
		met[listing.Address] = true
	}
	return slices.DeleteFunc(slices.Clone(peers.seeds), func(seed string) bool { return met[seed] })
}

// isConnectedToVM reports whether this daemon has a connection to the one on a VM.
func (peers *Peers) isConnectedToVM(vm yuccaid.VM) bool {
	other := peers.peers[vm]
	return other != nil && other.inView && peers.isConnected(other.member.Incarnation)
}

// updateGatewayLinks decides anew which other data centres this daemon is a gateway to. The
// plan is made only when the candidates or the view have changed: with 400 VMs it takes
// half a millisecond, and small VMs have better to do at each heartbeat.
func (peers *Peers) updateGatewayLinks(now time.Time) {
	if settled := peers.Settled(); peers.dialPlan == nil || peers.dialPlanStale || peers.dialPlanSettled != settled {
		peers.dialPlan = peers.makeDialPlan()
		peers.dialPlanStale = false
		peers.dialPlanSettled = settled
	}
	maps.DeleteFunc(peers.gatewayLinks, func(centre yuccaid.Centre, _ *gatewayLink) bool {
		return peers.dialPlan[centre] == nil
	})
	for centre, order := range peers.dialPlan {
		peers.updateGatewayLink(now, centre, order)
	}
}

// makeDialPlan returns, for each data centre that this daemon is a gateway to, the VMs there
// in the order in which they should be dialled.
func (peers *Peers) makeDialPlan() map[yuccaid.Centre][]yuccaid.VM {
	byCentre := make(map[yuccaid.Centre][]yuccaid.VM)
	for vm, listing := range peers.candidates() {
		if listing.Centre != "" && !listing.Leaving {
			byCentre[listing.Centre] = append(byCentre[listing.Centre], vm)
		}
	}
	own := peers.self.Centre
	if peers.Settled() {
		// Before that this daemon sees only itself and would dial everywhere.
		byCentre[own] = vmsOf(peers.Live(own))
	}
	plan := make(map[yuccaid.Centre][]yuccaid.VM)
	clear(peers.gatewayVMs)
	peers.viewCache.gateways = nil
	for centre, gateways := range peers.assignGateways(byCentre, own) {
		for _, vm := range gateways {
			peers.gatewayVMs[vm] = true
		}
		if slot := slices.Index(gateways, peers.self.Incarnation.VM); slot >= 0 {
			plan[centre] = peers.dialOrder(byCentre, centre, slot)
		}
	}
	return plan
}

// Gateways returns the live daemons of this data centre that hold the connections to the
// others, as this daemon sees it. Where views differ for a moment one may be missing.
func (peers *Peers) Gateways() []Member {
	own := peers.self.Centre
	return cached(&peers.viewCache.gateways, own, func() []Member {
		return peers.members(func(member Member) bool {
			return member.Centre == own && peers.gatewayVMs[member.Incarnation.VM]
		})
	})
}

// assignGateways returns a data centre's gateways to each of the others.
//
// Rendezvous hashing makes the choice alike everywhere and keeps it when others come
// and go. It alone would give some daemons several times the links of others, and each
// link costs heartbeats; so nobody is picked more often than an even share, as long as
// others are left.
func (peers *Peers) assignGateways(byCentre map[yuccaid.Centre][]yuccaid.VM, from yuccaid.Centre) map[yuccaid.Centre][]yuccaid.VM {
	vms := byCentre[from]
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(byCentre)), func(centre yuccaid.Centre) bool {
		return centre == from
	})
	assigned := make(map[yuccaid.Centre][]yuccaid.VM, len(others))
	if len(vms) == 0 {
		return assigned
	}
	share := (peers.gatewayCount*len(others) + len(vms) - 1) / len(vms)
	load := make(map[yuccaid.VM]int, len(vms))
	for _, centre := range others {
		ranked := sortByHash(vms, "gateway to "+string(centre))
		slices.SortStableFunc(ranked, func(a, b yuccaid.VM) int {
			return cmp.Compare(max(load[a]+1, share), max(load[b]+1, share))
		})
		picked := ranked[:min(peers.gatewayCount, len(ranked))]
		for _, vm := range picked {
			load[vm]++
		}
		assigned[centre] = picked
	}
	return assigned
}

// dialOrder orders another data centre's VMs by who should be dialled first from a
// slot: the gateway that it has in the same slot, which then dials the same way and
// shares the connection, then its other gateways, then all.
func (peers *Peers) dialOrder(byCentre map[yuccaid.Centre][]yuccaid.VM, centre yuccaid.Centre, slot int) []yuccaid.VM {
	theirs := slices.Clone(peers.assignGateways(byCentre, centre)[peers.self.Centre])
	if slot < len(theirs) {
		theirs[0], theirs[slot] = theirs[slot], theirs[0]
	}
	for _, vm := range sortByHash(byCentre[centre], "gateway to "+string(peers.self.Centre)) {
		if !slices.Contains(theirs, vm) {
			theirs = append(theirs, vm)
		}
	}
	return theirs
}

// updateGatewayLink keeps the wish for a VM of another data centre while it answers, and else moves
// on to the next that was not tried yet.
func (peers *Peers) updateGatewayLink(now time.Time, centre yuccaid.Centre, order []yuccaid.VM) {
	wanted := peers.gatewayLinks[centre]
	if wanted == nil {
		wanted = &gatewayLink{tried: make(map[yuccaid.VM]bool)}
		peers.gatewayLinks[centre] = wanted
	}
	if slices.Contains(order, wanted.vm) {
		if peers.isConnectedToVM(wanted.vm) {
			wanted.since = now
			clear(wanted.tried)
			return
		}
		if now.Sub(wanted.since) < peers.timing.GatewayConnectTimeout {
			return
		}
	}
	wanted.tried[wanted.vm] = true
	wanted.vm = wanted.nextVM(order)
	wanted.since = now
}

// nextVM returns the first VM that was not tried, and begins again when all were.
func (wanted *gatewayLink) nextVM(order []yuccaid.VM) yuccaid.VM {
	for _, vm := range order {
		if !wanted.tried[vm] {
			return vm
		}
	}
	clear(wanted.tried)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// sortByHash sorts VMs by their weight for the topic, the greatest first.
func sortByHash(vms []yuccaid.VM, topic string) []yuccaid.VM {
	weights := make(map[yuccaid.VM]uint64, len(vms))
	for _, vm := range vms {
		weights[vm] = hashWeight(topic, string(vm))
	}
	return slices.SortedFunc(slices.Values(vms), func(a, b yuccaid.VM) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
}

func vmsOf(members []Member) []yuccaid.VM {
	vms := make([]yuccaid.VM, 0, len(members))
	for _, member := range members {
		vms = append(vms, member.VM)
	}
	return vms
}
