package yuccagate

import (
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

const (
	// seedReachedFor is how long a seed counts as reached after this daemon has last reached it, so that a seed
	// that is started again at once counts all the while. Cut-off seeds are noticed that much later.
	seedReachedFor = 500 * time.Millisecond
	// seedReportInterval is the longest time between two reports of the seeds in this data centre.
	seedReportInterval = 2 * time.Second
	// seedReportSpacing is the shortest time between two equal reports that are passed on within a data centre. Each comes
	// over two connections.
	seedReportSpacing = 1400 * time.Millisecond
	// seedReportValidFor is how long a report is valid while casts show that its data centre is up.
	seedReportValidFor = 5 * time.Second
)

// seeds is what this daemon knows of the seeds in the settings, by address. It belongs to the control goroutine.
type seeds struct {
	// reachedAt has when this daemon last reached each seed, itself or by daemons of the seed's data centre.
	reachedAt map[string]time.Time
	// remote has the last report of each other data centre.
	remote map[yuccaid.Centre]seedReport
	// sent is the last report that this daemon sent, at sentAt to the daemons sentTo.
	sent   []string
	sentTo []yuccaid.Incarnation
	sentAt time.Time
}

// seedReport has the addresses of the seeds in a data centre that a daemon there reaches.
type seedReport struct {
	addresses  []string
	receivedAt time.Time
	// passedOnAt is when it was last passed on within this data centre, by this daemon or another.
	passedOnAt time.Time
}

func newSeeds() seeds {
	return seeds{reachedAt: make(map[string]time.Time), remote: make(map[yuccaid.Centre]seedReport)}
}

// countReachedSeeds returns the number of seeds that this daemon reaches.
func (gate *Gate) countReachedSeeds(now time.Time) int {
	for _, address := range gate.settings.Seeds {
		if gate.reachesSeed(now, address) {
			gate.seeds.reachedAt[address] = now
		}
	}
	maps.DeleteFunc(gate.seeds.reachedAt, func(address string, at time.Time) bool {
		return now.Sub(at) >= seedReachedFor || !slices.Contains(gate.settings.Seeds, address)
	})
	return len(gate.seeds.reachedAt)
}

// reachesSeed reports whether a seed is in this daemon's view, or was reached lately by a daemon in its data centre.
// Of the daemons in other data centres, only gateways are in the view.
func (gate *Gate) reachesSeed(now time.Time, address string) bool {
	if gate.peers.ReachesAddress(address) {
		return true
	}
	for name, report := range gate.seeds.remote {
		centre := gate.remoteCentres[name]
		isUp := centre != nil && now.Sub(centre.receivedAt) < centreFreshFor
		if isUp && now.Sub(report.receivedAt) < seedReportValidFor && slices.Contains(report.addresses, address) {
			return true
		}
	}
	return false
}

// localSeeds returns the addresses of the seeds in this data centre that this daemon reaches.
func (gate *Gate) localSeeds() []string {
	var list []string
	for _, member := range gate.peers.Live(gate.settings.Centre) {
		if slices.Contains(gate.settings.Seeds, member.Address) {
			list = append(list, member.Address)
		}
	}
	return list
}

// reportSeeds tells the daemons of other data centres to which this daemon is connected which seeds it reaches in
// its own: at once when the seeds or the connections change, and again and again while there are any seeds.
func (gate *Gate) reportSeeds(now time.Time) {
	addresses, to := gate.localSeeds(), gate.remoteLinked()
	changed := !slices.Equal(addresses, gate.seeds.sent) || !slices.Equal(to, gate.seeds.sentTo)
	due := len(addresses) > 0 && now.Sub(gate.seeds.sentAt) >= seedReportInterval
	if !changed && !due {
		return
	}
	gate.seeds.sent, gate.seeds.sentTo, gate.seeds.sentAt = addresses, to, now
	for _, daemon := range to {
		gate.send(daemon, yuccawire.KindSeeds, yuccawire.Seeds{Centre: gate.settings.Centre, Addresses: addresses})
	}
}

// remoteLinked returns the daemons of other data centres to which this daemon is connected, in the order of their names.
func (gate *Gate) remoteLinked() []yuccaid.Incarnation {
	var list []yuccaid.Incarnation
	for _, member := range gate.hub.Linked() {
		if member.Centre != gate.settings.Centre {
			list = append(list, member.Incarnation)
		}
	}
	return list
}

// onSeeds handles a report of the seeds in another data centre. One that comes from there is passed on within this
// data centre.
func (gate *Gate) onSeeds(now time.Time, from yuccaid.Incarnation, message yuccawire.Seeds) {
	if message.Centre == gate.settings.Centre {
		return
	}
	before := gate.seeds.remote[message.Centre]
	report := seedReport{addresses: message.Addresses, receivedAt: now, passedOnAt: now}
	if peer, found := gate.peers.Find(from.VM); found && peer.Centre == message.Centre {
		if slices.Equal(before.addresses, report.addresses) && now.Sub(before.passedOnAt) < seedReportSpacing {
			report.passedOnAt = before.passedOnAt
		} else {
			gate.sendLocal(yuccawire.KindSeeds, message)
		}
	}
	gate.seeds.remote[message.Centre] = report
}
