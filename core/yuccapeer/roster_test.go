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

// crowd is daemons of one data centre that start together and know some seeds. Connections
// come up and messages arrive in any order, but those of one connection in theirs.
type crowd struct {
	// pick chooses what happens next among so many things.
	pick    func(count int) int
	now     time.Time
	members []yuccapeer.Member
	peers   []*yuccapeer.Peers
	at      map[string]int
	linked  map[[2]int]bool
	// ways holds what is on its way from one daemon to another.
	ways    map[[2]int][]any
	rosters int
}

func newCrowd(pick func(int) int, count, alive int) *crowd {
	crd := &crowd{pick: pick, now: time.Unix(1e6, 0), at: make(map[string]int), linked: make(map[[2]int]bool), ways: make(map[[2]int][]any)}
	for i := range count {
		vm := yuccaid.VM(fmt.Sprintf("vm-%d", i))
		member := yuccapeer.Member{VM: vm, Centre: "odessa", Address: fmt.Sprintf("10.0.0.%d:7400", i), Incarnation: yuccaid.NewIncarnation(vm, [16]byte{byte(i)})}
		crd.members = append(crd.members, member)
		crd.at[member.Address] = i
	}
	seeds := []string{"10.9.0.1:7400"}
	for i := range alive {
		seeds = append(seeds, crd.members[i].Address)
	}
	for _, member := range crd.members {
		crd.peers = append(crd.peers, yuccapeer.New(member, yuccapeer.WithSeeds(seeds...)))
	}
	return crd
}

// step lets one thing happen, and reports whether there was any.
func (crd *crowd) step() bool {
	var can []func()
	for i, from := range crd.peers {
		for _, address := range from.Dial() {
			j, exists := crd.at[address]
			if exists && !crd.linked[[2]int{i, j}] {
				can = append(can, func() { crd.link(i, j) })
			}
		}
		for j := range crd.peers {
			if len(crd.ways[[2]int{i, j}]) > 0 {
				can = append(can, func() { crd.deliver(i, j) })
			}
		}
	}
	if len(can) == 0 {
		return false
	}
	can[crd.pick(len(can))]()
	return true
}

func (crd *crowd) link(i, j int) {
	crd.linked[[2]int{i, j}], crd.linked[[2]int{j, i}] = true, true
	crd.send(i, crd.peers[i].HandleConnect(crd.now, crd.members[j]))
	crd.send(j, crd.peers[j].HandleConnect(crd.now, crd.members[i]))
}

func (crd *crowd) send(from int, change yuccapeer.Change) {
	for _, beat := range change.Messages {
		if beat.Heartbeat != nil {
			way := [2]int{from, crd.of(beat.To)}
			crd.ways[way] = append(crd.ways[way], *beat.Heartbeat)
		}
	}
	for _, to := range change.RosterRecipients {
		crd.rosters++
		way := [2]int{from, crd.of(to)}
		crd.ways[way] = append(crd.ways[way], crd.peers[from].Roster())
	}
}

func (crd *crowd) of(inc yuccaid.Incarnation) int {
	for i, member := range crd.members {
		if member.Incarnation == inc {
			return i
		}
	}
	panic("nobody is " + inc.String())
}

func (crd *crowd) deliver(from, to int) {
	way := [2]int{from, to}
	message := crd.ways[way][0]
	crd.ways[way] = crd.ways[way][1:]
	switch message := message.(type) {
	case yuccapeer.Heartbeat:
		crd.send(to, crd.peers[to].HandleHeartbeat(crd.now, message))
	case []yuccapeer.Listing:
		crd.peers[to].AddListings(crd.now, message)
	}
}

// All daemons of a data centre were killed and start together, without a list of the
// platform. Each gets the rosters of a few only. If two never heard of each other, they would
// name different leaders for as long as they live, and count quotas apart.
func TestDaemonsThatStartTogetherAllMeet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(count int) int { return rapid.IntRange(0, count-1).Draw(rt, "next") }
		crd := newCrowd(pick, rapid.IntRange(2, 14).Draw(rt, "daemons"), rapid.IntRange(1, 2).Draw(rt, "seeds"))
		for crd.step() {
		}
		for i, peers := range crd.peers {
			if met := len(peers.Live("odessa")); met != len(crd.peers) {
				rt.Fatalf("%s met %d of %d", crd.members[i].VM, met, len(crd.peers))
			}
		}
	})
}

// One VM of a large data centre is replaced. A roster to and from each of the others, 78,
// would be most of what a fleet tells.
func TestANewcomerGetsTheRostersOfAFew(t *testing.T) {
	const daemons, rostersAtMost = 40, 40
	for seed := range uint64(5) {
		crd := newCrowd(rand.New(rand.NewPCG(seed, 0)).IntN, daemons, 2)
		last := daemons - 1
		late := crd.peers[last]
		crd.peers = crd.peers[:last]
		for i := range last {
			for j := range i {
				crd.link(i, j)
			}
		}
		for way := range crd.ways {
			for len(crd.ways[way]) > 0 {
				crd.deliver(way[0], way[1])
			}
		}
		crd.peers = append(crd.peers, late)
		crd.rosters = 0
		for crd.step() {
		}
		if met := len(late.Live("odessa")); met != daemons || crd.rosters > rostersAtMost {
			t.Errorf("met %d of %d by %d rosters", met, daemons, crd.rosters)
		}
	}
}
