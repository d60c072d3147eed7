package yuccapeer_test

import (
	"fmt"
	"testing"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

const (
	// startupStep is the step of the simulated time. A message inside a data centre arrives after one
	// step, one between data centres after remoteSteps. A connection takes two messages to open.
	startupStep = 5 * time.Millisecond
	remoteSteps = 6
	// startupLimit is the time within which a fleet whose daemons were all killed serves again.
	startupLimit = 3 * time.Second
)

// startup simulates the daemons of a whole fleet that start at the same time. They know some seeds.
type startup struct {
	now     time.Time
	members []yuccapeer.Member
	views   []*yuccapeer.Peers
	indexes map[yuccaid.Incarnation]int
	// byAddress has the index of the daemon that listens at an address, and opened the pairs of
	// daemons that are connected or connecting.
	byAddress map[string]int
	opened    map[[2]int]bool
	// due has what happens at a time, in the order in which it was caused.
	due map[time.Time][]func()
	// messages counts the messages that each daemon received, and rosterEntries the daemons named by
	// the rosters that it received.
	messages, rosterEntries []int
}

// newStartup creates count daemons in each of the data centres. The first two daemons of each data
// centre are seeds.
func newStartup(centres, count int) *startup {
	str := &startup{now: time.Unix(1e6, 0), indexes: make(map[yuccaid.Incarnation]int), byAddress: make(map[string]int), opened: make(map[[2]int]bool), due: make(map[time.Time][]func())}
	var seeds []string
	for i := range centres * count {
		vm := yuccaid.VM(fmt.Sprintf("vm-%03d", i))
		member := yuccapeer.Member{
			VM: vm, Centre: yuccaid.Centre(fmt.Sprintf("centre-%02d", i/count)), Address: fmt.Sprintf("10.0.%d.%d:7400", i/count, i%count),
			Incarnation: yuccaid.NewIncarnation(vm, [16]byte{byte(i), byte(i >> 8)}),
		}
		str.members = append(str.members, member)
		str.indexes[member.Incarnation], str.byAddress[member.Address] = i, i
		if i%count < 2 {
			seeds = append(seeds, member.Address)
		}
	}
	for _, member := range str.members {
		str.views = append(str.views, yuccapeer.New(member, yuccapeer.WithSeeds(seeds...)))
	}
	str.messages, str.rosterEntries = make([]int, len(str.members)), make([]int, len(str.members))
	return str
}

// after has something happen once a number of messages have gone from one daemon to the other.
func (str *startup) after(from, to, messages int, event func()) {
	steps := messages
	if str.members[from].Centre != str.members[to].Centre {
		steps *= remoteSteps
	}
	at := str.now.Add(time.Duration(steps) * startupStep)
	str.due[at] = append(str.due[at], event)
}

// advance advances the time by one step.
func (str *startup) advance() {
	str.now = str.now.Add(startupStep)
	for _, event := range str.due[str.now] {
		event()
	}
	delete(str.due, str.now)
	for i, view := range str.views {
		str.send(i, view.Tick(str.now))
		for _, address := range view.WantedConnections() {
			str.open(i, str.byAddress[address])
		}
	}
}

// open begins to connect two daemons, unless they are connected or connecting.
func (str *startup) open(from, to int) {
	pair := [2]int{min(from, to), max(from, to)}
	if str.opened[pair] {
		return
	}
	str.opened[pair] = true
	str.after(from, to, 2, func() {
		str.send(from, str.views[from].HandleConnect(str.now, str.members[to]))
		str.send(to, str.views[to].HandleConnect(str.now, str.members[from]))
	})
}

// send sends the messages and rosters that a change contains.
func (str *startup) send(from int, change yuccapeer.Change) {
	for _, message := range change.Messages {
		to := str.indexes[message.To]
		str.messages[to]++
		str.after(from, to, 1, func() {
			if message.Heartbeat != nil {
				str.send(to, str.views[to].HandleHeartbeat(str.now, *message.Heartbeat))
				return
			}
			str.send(to, str.views[to].HandlePulse(str.now, str.members[from].Incarnation, message.Pulse))
		})
	}
	for _, inc := range change.RosterRecipients {
		to, roster := str.indexes[inc], str.views[from].AllCandidates()
		str.messages[to]++
		str.rosterEntries[to] += len(roster)
		str.after(from, to, 1, func() { str.views[to].AddListings(str.now, roster) })
	}
}

// complete reports whether each daemon knows all daemons of its data centre as live.
func (str *startup) complete(count int) bool {
	for i, view := range str.views {
		if len(view.Live(str.members[i].Centre)) < count {
			return false
		}
	}
	return true
}

// All daemons of a fleet are killed or lose power, and start again together. Until a daemon knows the
// others of its data centre, it leads pools that others lead as well, and callers wait. The more
// daemons there are, the more connections and rosters each of them has to handle at that moment.
func TestAFleetThatStartsTogetherIsCompleteInTime(t *testing.T) {
	for _, size := range []struct{ centres, count int }{{3, 33}, {6, 49}, {14, 29}} {
		t.Run(fmt.Sprintf("%d data centres of %d", size.centres, size.count), func(t *testing.T) {
			str := newStartup(size.centres, size.count)
			begin := str.now
			for !str.complete(size.count) {
				if str.advance(); str.now.Sub(begin) > startupLimit {
					t.Fatalf("some daemons don't know their data centre after %s", startupLimit)
				}
			}
			took := str.now.Sub(begin)
			for str.now.Sub(begin) < 2*time.Second {
				str.advance()
			}
			messages, entries := 0, 0
			for i := range str.messages {
				messages, entries = max(messages, str.messages[i]), max(entries, str.rosterEntries[i])
			}
			t.Logf("complete after %s; in the first 2 s the busiest daemon received %d messages and rosters with %d entries", took, messages, entries)
		})
	}
}
