package yuccapeer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

// coldStart simulates daemons of one data centre that start at the same time and know some
// seeds. Connections open and messages arrive in any order, except that messages from one
// daemon to another arrive in the order in which they were sent.
type coldStart struct {
	// pick returns the index of the event that happens next among count possible ones.
	pick    func(count int) int
	now     time.Time
	members []yuccapeer.Member
	views   []*yuccapeer.Peers
	// byAddress has the index of the daemon that listens at an address.
	byAddress map[string]int
	// connected has the pairs of indices of daemons that are connected, in both orders.
	connected map[[2]int]bool
	// queues has the messages that were sent from one daemon to another and haven't arrived.
	// The map's key is the index of the sender and the index of the receiver.
	queues map[[2]int][]any
	// rosters counts the rosters that were sent.
	rosters int
}

// newColdStart creates count daemons. The seeds are the addresses of the first seedCount
// daemons, and one address at which no daemon listens.
func newColdStart(pick func(int) int, count, seedCount int) *coldStart {
	cold := &coldStart{pick: pick, now: time.Unix(1e6, 0), byAddress: make(map[string]int), connected: make(map[[2]int]bool), queues: make(map[[2]int][]any)}
	for i := range count {
		vm := yuccaid.VM(fmt.Sprintf("vm-%d", i))
		member := yuccapeer.Member{VM: vm, Centre: "odessa", Address: fmt.Sprintf("10.0.0.%d:7400", i), Incarnation: yuccaid.NewIncarnation(vm, [16]byte{byte(i)})}
		cold.members = append(cold.members, member)
		cold.byAddress[member.Address] = i
	}
	seeds := []string{"10.9.0.1:7400"}
	for i := range seedCount {
		seeds = append(seeds, cold.members[i].Address)
	}
	for _, member := range cold.members {
		cold.views = append(cold.views, yuccapeer.New(member, yuccapeer.WithSeeds(seeds...)))
	}
	return cold
}

// step performs one of the possible events, and reports whether there was any.
func (cold *coldStart) step() bool {
	var possible []func()
	for i, from := range cold.views {
		for _, address := range from.WantedConnections() {
			j, exists := cold.byAddress[address]
			if exists && !cold.connected[[2]int{i, j}] {
				possible = append(possible, func() { cold.connect(i, j) })
			}
		}
		for j := range cold.views {
			if len(cold.queues[[2]int{i, j}]) > 0 {
				possible = append(possible, func() { cold.deliver(i, j) })
			}
		}
	}
	if len(possible) == 0 {
		return false
	}
	possible[cold.pick(len(possible))]()
	return true
}

// connect connects two daemons.
func (cold *coldStart) connect(i, j int) {
	cold.connected[[2]int{i, j}], cold.connected[[2]int{j, i}] = true, true
	cold.send(i, cold.views[i].HandleConnect(cold.now, cold.members[j]))
	cold.send(j, cold.views[j].HandleConnect(cold.now, cold.members[i]))
}

// send queues the full heartbeats and the rosters that a change contains.
func (cold *coldStart) send(from int, change yuccapeer.Change) {
	for _, message := range change.Messages {
		if message.Heartbeat != nil {
			pair := [2]int{from, cold.indexOf(message.To)}
			cold.queues[pair] = append(cold.queues[pair], *message.Heartbeat)
		}
	}
	for _, to := range change.RosterRecipients {
		cold.rosters++
		pair := [2]int{from, cold.indexOf(to)}
		cold.queues[pair] = append(cold.queues[pair], cold.views[from].AllCandidates())
	}
}

// indexOf returns the index of the daemon with an incarnation.
func (cold *coldStart) indexOf(inc yuccaid.Incarnation) int {
	for i, member := range cold.members {
		if member.Incarnation == inc {
			return i
		}
	}
	panic("no daemon is " + inc.String())
}

// deliver has a daemon handle the first message queued from another.
func (cold *coldStart) deliver(from, to int) {
	pair := [2]int{from, to}
	message := cold.queues[pair][0]
	cold.queues[pair] = cold.queues[pair][1:]
	switch message := message.(type) {
	case yuccapeer.Heartbeat:
		cold.send(to, cold.views[to].HandleHeartbeat(cold.now, message))
	case []yuccapeer.Listing:
		cold.views[to].AddListings(cold.now, message)
	}
}

// All daemons of a data centre were killed and start at the same time, while the platform's
// list can't be read. Each daemon gets the rosters of a few daemons only. If two daemons never
// learnt of each other, they would name different leaders until one of the two restarts, and
// would count the usage of quotas separately.
func TestDaemonsThatStartTogetherAllMeet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(count int) int { return rapid.IntRange(0, count-1).Draw(rt, "next") }
		cold := newColdStart(pick, rapid.IntRange(2, 14).Draw(rt, "daemons"), rapid.IntRange(1, 2).Draw(rt, "seeds"))
		for cold.step() {
		}
		for i, view := range cold.views {
			if known := len(view.Live("odessa")); known != len(cold.views) {
				rt.Fatalf("%s knows %d of %d daemons", cold.members[i].VM, known, len(cold.views))
			}
		}
	})
}

// One VM of a large data centre is replaced. If its new daemon exchanged rosters with each of
// the other 39 daemons, those 78 rosters would be most of the fleet's membership traffic.
func TestANewcomerGetsTheRostersOfAFew(t *testing.T) {
	const daemons, maxRosters = 40, 40
	for seed := range uint64(5) {
		cold := newColdStart(rand.New(rand.NewPCG(seed, 0)).IntN, daemons, 2)
		last := daemons - 1
		// First, all daemons but the newcomer connect to each other and exchange rosters.
		newcomer := cold.views[last]
		cold.views = cold.views[:last]
		for i := range last {
			for j := range i {
				cold.connect(i, j)
			}
		}
		for pair := range cold.queues {
			for len(cold.queues[pair]) > 0 {
				cold.deliver(pair[0], pair[1])
			}
		}
		// Then the newcomer joins, and only the rosters sent from here on count.
		cold.views = append(cold.views, newcomer)
		cold.rosters = 0
		for cold.step() {
		}
		if known := len(newcomer.Live("odessa")); known != daemons || cold.rosters > maxRosters {
			t.Errorf("the newcomer knows %d of %d daemons, and %d rosters were sent", known, daemons, cold.rosters)
		}
	}
}
