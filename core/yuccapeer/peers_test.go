package yuccapeer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

func poolNamed(i int) yuccaid.Pool { return yuccaid.Pool(fmt.Sprintf("pool-%d", i)) }

// leaders returns the leaders of eight pools in a process's view, and nothing until the
// process has settled.
func leaders(proc *process) []yuccaid.Incarnation {
	var all []yuccaid.Incarnation
	for i := range 8 {
		if leader, ok := proc.view.Leader(poolNamed(i)); ok {
			all = append(all, leader.Incarnation)
		}
	}
	return all
}

// disagreement compares the views of processes that can reach each other. It also compares
// each view with the actual state of the world. It returns a description of the first
// difference, or "" if there is none.
func (wld *world) disagreement() string {
	for _, proc := range wld.current() {
		for _, member := range proc.view.Live(proc.Centre) {
			age := wld.now.Sub(proc.received[member.Incarnation])
			if member.Incarnation != proc.Incarnation && age > yuccapeer.DefaultTiming().ExpireAfter+wld.step {
				return fmt.Sprintf("%s still has %s in its view, %s after its last message", proc.VM, member.VM, age)
			}
		}
	}
	if !wld.quiet() {
		return ""
	}
	for _, proc := range wld.current() {
		if wld.lacksSuccessor(proc.side) {
			continue
		}
		var highest yuccaid.ConfigNumber
		for _, other := range wld.current() {
			if proc.side != other.side {
				continue
			}
			highest = max(highest, other.number)
			if slices.ContainsFunc(leaders(proc), func(inc yuccaid.Incarnation) bool { return wld.replaced[inc] }) {
				return fmt.Sprintf("%s names a leader that was replaced", proc.VM)
			}
			if named, otherNamed := leaders(proc), leaders(other); !slices.Equal(named, otherNamed) {
				return fmt.Sprintf("%s names %v and %s names %v", proc.VM, named, other.VM, otherNamed)
			}
		}
		if !proc.view.Settled() {
			return fmt.Sprintf("%s names no leaders, although it has been undisturbed for long enough to settle", proc.VM)
		}
		if found := proc.view.NewerConfig().Number; highest > proc.number && found != highest {
			return fmt.Sprintf("%s has configuration %d and reports %d as the highest of its peers, instead of %d", proc.VM, proc.number, found, highest)
		}
	}
	return ""
}

// lacksSuccessor reports whether a replaced process is still alive on the given side of the
// partition while none of its successors runs on that side. The daemons on that side can't
// know that the process was replaced, so their views may differ.
func (wld *world) lacksSuccessor(side int) bool {
	return slices.ContainsFunc(wld.processes, func(old *process) bool {
		return old.side == side && !old.dead && wld.replaced[old.Incarnation] &&
			!slices.ContainsFunc(wld.current(), func(successor *process) bool { return successor.VM == old.VM && successor.side == side })
	})
}

// A data centre is partitioned, processes are paused, die, are replaced or leave, and
// messages are lost, late or duplicated, in any order and at the same time. If a replaced
// process were added to a view again, or if two daemons kept leading the same pool, both
// would fill a target's slots, and urgent requests would wait behind the excess.
func TestMembersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wld := newWorld(rapid.Uint64().Draw(t, "seed"), 100*time.Millisecond, 1, 5)
		pick := func() *process { return rapid.SampledFrom(wld.processes).Draw(t, "run") }
		disturb := func(act func(proc *process)) func(*rapid.T) {
			return func(*rapid.T) {
				if proc := pick(); !proc.dead {
					act(proc)
					wld.recordDisturbance(wld.now)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { wld.advance(rapid.IntRange(1, 100).Draw(t, "steps")) },
			"cut":  disturb(func(proc *process) { proc.side = 1 }),
			"heal": disturb(func(*process) {
				for _, proc := range wld.processes {
					proc.side = 0
				}
			}),
			"pause": disturb(func(proc *process) { proc.paused = true }),
			"wake": disturb(func(proc *process) {
				proc.paused = false
				wld.runOnce(proc)
			}),
			"noise": disturb(func(*process) { wld.unreliable = !wld.unreliable }),
			"restart": disturb(func(proc *process) {
				if !wld.replaced[proc.Incarnation] {
					wld.replace(proc, rapid.Bool().Draw(t, "died"))
				}
			}),
			"leave": disturb(func(proc *process) {
				if !proc.paused {
					wld.apply(proc, proc.view.Leave(wld.now))
				}
			}),
			"accept": disturb(func(proc *process) {
				if !proc.paused {
					proc.number++
					digest := yuccaid.Digest(fmt.Sprint(proc.number))
					wld.apply(proc, proc.view.SetConfig(wld.now, proc.number, digest))
				}
			}),
			"": func(t *rapid.T) {
				if violation := wld.violation + wld.disagreement(); violation != "" {
					t.Fatal(violation)
				}
			},
		})
		wld.unreliable = false
		wld.advance(200)
		if violation := wld.violation + wld.disagreement(); violation != "" {
			t.Fatalf("after 20 quiet seconds: %s", violation)
		}
	})
}

// Any VMs may be down, and one data centre may be cut off from all others. If no connections
// led to a data centre, a configuration that only one daemon has read would not reach it,
// and withdrawn targets would still be used there.
func TestNewsReachesEveryCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const centres, daemonsPerCentre = 6, 4
		wld := newWorld(1, 500*time.Millisecond, centres, daemonsPerCentre)
		wld.advance(20)
		for _, proc := range wld.processes {
			proc.dead = rapid.Float64Range(0, 1).Draw(t, proc.Address) < 0.6
		}
		if rapid.Bool().Draw(t, "cut") {
			for _, proc := range wld.processes[:daemonsPerCentre] {
				proc.side = 1
			}
		}
		// Two steps are a second. The run is long enough for a gateway to try every VM of another
		// data centre.
		wld.advance(2 * int((daemonsPerCentre+3)*yuccapeer.DefaultTiming().GatewayConnectTimeout/time.Second))
		current := wld.current()
		for _, proc := range current {
			for _, other := range current {
				if proc.side == other.side && !reachable(proc)[other.Incarnation] {
					t.Fatalf("no connections lead from %s to %s", proc.Address, other.Address)
				}
			}
		}
	})
}

// reachable returns the incarnations to which connections lead from a process, directly or
// via other processes. The process itself is included.
func reachable(from *process) map[yuccaid.Incarnation]bool {
	seen := map[yuccaid.Incarnation]bool{from.Incarnation: true}
	for queue := []*process{from}; len(queue) > 0; queue = queue[1:] {
		for _, conn := range queue[0].connections {
			for _, end := range conn.ends {
				if !seen[end.Incarnation] {
					seen[end.Incarnation] = true
					queue = append(queue, end)
				}
			}
		}
	}
	return seen
}

var _ = Describe("a view", func() {
	var wld *world
	var first, second *process
	BeforeEach(func() {
		wld = newWorld(1, 100*time.Millisecond, 1, 3)
		wld.advance(100)
		first, second = wld.processes[0], wld.processes[1]
	})

	// A process is paused, or its whole VM is suspended, and resumes minutes later. If it
	// still acted as a leader, it would grant slots that the pool's new leader has already
	// granted to other requests.
	DescribeTable("expires before anything else after a pause",
		func(wake func() yuccapeer.Change) {
			change := wake()
			Expect(change.Resumed).To(BeTrue())
			Expect(change.PausedFor).To(BeNumerically(">=", time.Minute))
			Expect(change.Removed).To(HaveLen(2))
			Expect(first.view.Live(first.Centre)).To(Equal([]yuccapeer.Member{first.Member}))
			_, settled := first.view.Leader("drafts")
			Expect(settled).To(BeFalse())
		},
		Entry("that its own ticks show", func() yuccapeer.Change {
			return first.view.Tick(wld.now.Add(time.Minute))
		}),
		Entry("that only the boot clock shows", func() yuccapeer.Change {
			return first.view.CheckClocks(wld.now, 100*time.Millisecond, time.Minute+100*time.Millisecond)
		}),
	)

	It("doesn't expire when the boot clock goes back or runs a little ahead", func() {
		for _, boot := range []time.Duration{-time.Hour, 0, 2 * time.Second} {
			Expect(first.view.CheckClocks(wld.now, time.Second, boot)).To(BeZero())
		}
	})

	It("keeps a member whose connection broke for long enough to dial again", func() {
		first.view.HandleDisconnect(wld.now, second.Incarnation)
		Expect(first.view.Tick(wld.now.Add(900 * time.Millisecond)).Removed).To(BeEmpty())
		Expect(first.view.Tick(wld.now.Add(1100 * time.Millisecond)).Removed).To(ConsistOf(second.Member))
	})

	It("ignores messages whose sender isn't connected", func() {
		first.view.HandleDisconnect(wld.now, second.Incarnation)
		wld.now = wld.now.Add(time.Second)
		Expect(first.view.HandlePulse(wld.now, second.Incarnation, yuccapeer.Pulse{Sequence: 1e6, Version: 1})).To(BeZero())
		Expect(first.view.Tick(wld.now).Removed).To(ConsistOf(second.Member))
	})

	It("has leaving members lead only when there is no other member", func() {
		for _, proc := range wld.processes[:2] {
			wld.apply(proc, proc.view.Leave(wld.now))
		}
		wld.advance(10)
		for i := range 8 {
			leader, _ := first.view.Leader(poolNamed(i))
			Expect(leader).To(Equal(wld.processes[2].Member))
		}
		wld.processes[2].dead = true
		wld.advance(100)
		leader, ok := first.view.Leader("drafts")
		Expect(ok).To(BeTrue())
		Expect(leader.Leaving).To(BeTrue())
	})

	It("reaches the addresses of live members, leaving ones included, and no others", func() {
		Expect(first.view.ReachesAddress(first.Address)).To(BeTrue())
		Expect(first.view.ReachesAddress("nobody's")).To(BeFalse())
		wld.apply(second, second.view.Leave(wld.now))
		wld.advance(10)
		Expect(first.view.ReachesAddress(second.Address)).To(BeTrue())
		second.dead = true
		wld.advance(100)
		Expect(first.view.ReachesAddress(second.Address)).To(BeFalse())
	})

	It("reports peers that have another configuration under the same number", func() {
		wld.apply(first, first.view.SetConfig(wld.now, 1, "a"))
		heartbeat := second.view.Heartbeat()
		heartbeat.Sequence, heartbeat.Version, heartbeat.Number, heartbeat.Digest = 1e6, 1e6, 1, "b"
		Expect(first.view.HandleHeartbeat(wld.now, heartbeat).Diverged).To(HaveLen(1))
	})

	It("reports that the platform lists its own VM as leaving", func() {
		wld.listings[0].Leaving = true
		first.view.SetListings(wld.now, wld.listings)
		Expect(first.view.ListedLeaving()).To(BeTrue())
		Expect(second.view.ListedLeaving()).To(BeFalse())
	})

	// The platform's service is down while a VM is replaced. The new daemon only knows the
	// seeds from its settings and has to find all other daemons through them.
	It("finds all daemons through one seed when the platform is down", func() {
		self := first.Member
		self.VM, self.Address = "vm-9", "10.0.0.9:7400"
		self.Incarnation = yuccaid.NewIncarnation("vm-9", [16]byte{9})
		newcomer := yuccapeer.New(self, yuccapeer.WithSeeds(second.Address))
		newcomer.Tick(wld.now)
		Expect(newcomer.WantedConnections()).To(Equal([]string{second.Address}))
		second.view.HandleConnect(wld.now, self)
		Expect(second.view.HandleHeartbeat(wld.now, newcomer.Heartbeat()).RosterRecipients).To(ConsistOf(self.Incarnation))
		newcomer.AddListings(wld.now, second.view.AllCandidates())
		Expect(newcomer.WantedConnections()).To(HaveLen(3))
		newcomer.Tick(wld.now.Add(2 * time.Hour))
		Expect(newcomer.WantedConnections()).To(Equal([]string{second.Address}))
	})

	// A fleet starts while the platform's list can't be read, and the first seed that a daemon
	// reaches is in its own data centre. If it dialled no other seed, data centres would never
	// learn of one another, and each would admit requests for the whole quota of an account.
	It("dials the seeds of other data centres too, until they are candidates", func() {
		remote := yuccapeer.Member{VM: "far", Centre: "milano", Address: "10.1.0.1:7400"}
		remote.Incarnation = yuccaid.NewIncarnation("far", [16]byte{7})
		self := first.Member
		self.VM, self.Address = "vm-9", "10.0.0.9:7400"
		self.Incarnation = yuccaid.NewIncarnation("vm-9", [16]byte{9})
		newcomer := yuccapeer.New(self, yuccapeer.WithSeeds(second.Address, remote.Address, "10.2.0.1:7400", self.Address))
		newcomer.Tick(wld.now)
		newcomer.HandleConnect(wld.now, second.Member)
		newcomer.HandleHeartbeat(wld.now, second.view.Heartbeat())
		Expect(newcomer.WantedConnections()).To(Equal([]string{second.Address, remote.Address, "10.2.0.1:7400"}))
		newcomer.AddListings(wld.now, []yuccapeer.Listing{{VM: remote.VM, Centre: remote.Centre, Address: remote.Address}})
		Expect(newcomer.WantedConnections()).To(Equal([]string{second.Address, "10.2.0.1:7400"}))
	})

	// A hundred daemons start and each dials the seeds in other data centres. The daemons that
	// aren't gateways close the connection after the first heartbeat, before a roster has
	// arrived. If they didn't keep the seed as a candidate, they would dial it again at once
	// each time, and the seeds would be overloaded with new connections.
	It("doesn't dial a seed in another data centre again after its first heartbeat", func() {
		remote := yuccapeer.Member{VM: "far", Centre: "milano", Address: "10.1.0.1:7400"}
		remote.Incarnation = yuccaid.NewIncarnation("far", [16]byte{7})
		remotePeers := yuccapeer.New(remote)
		self := first.Member
		self.VM, self.Address = "vm-9", "10.0.0.9:7400"
		self.Incarnation = yuccaid.NewIncarnation("vm-9", [16]byte{9})
		newcomer := yuccapeer.New(self, yuccapeer.WithSeeds(second.Address, remote.Address))
		newcomer.Tick(wld.now)
		newcomer.HandleConnect(wld.now, second.Member)
		newcomer.HandleHeartbeat(wld.now, second.view.Heartbeat())
		newcomer.HandleConnect(wld.now, remote)
		newcomer.HandleHeartbeat(wld.now, remotePeers.Heartbeat())
		newcomer.HandleDisconnect(wld.now, remote.Incarnation)
		later := wld.now.Add(5 * time.Second)
		newcomer.Tick(later)
		Expect(newcomer.Live("milano")).To(BeEmpty(), "the seed should have been removed from the view")
		Expect(newcomer.Candidates("milano")).To(HaveLen(1))
		newcomer.Tick(wld.now.Add(2 * time.Hour))
		Expect(newcomer.Candidates("milano")).To(BeEmpty())
		Expect(newcomer.WantedConnections()).To(ContainElement(remote.Address), "the seed should be dialled again once its listing is forgotten")
	})

	// While the platform's list can't be read, a daemon answers a peer's full heartbeat by its
	// roster. Each change of the configuration causes a full heartbeat from every peer. If each
	// of these heartbeats were answered by a roster, a hundred daemons would send one another
	// ten thousand rosters.
	It("sends a roster once for each connection", func() {
		unlisted := second.view.Heartbeat()
		unlisted.Unlisted = true
		unlisted.Sequence += 10
		Expect(first.view.HandleHeartbeat(wld.now, unlisted).RosterRecipients).To(HaveLen(1))
		unlisted.Sequence++
		unlisted.Version++
		Expect(first.view.HandleHeartbeat(wld.now, unlisted).RosterRecipients).To(BeEmpty())
		first.view.HandleDisconnect(wld.now, unlisted.Incarnation)
		first.view.HandleConnect(wld.now, second.Member)
		unlisted.Sequence++
		Expect(first.view.HandleHeartbeat(wld.now, unlisted).RosterRecipients).To(HaveLen(1))
	})

	It("finds daemons of other data centres on the list", func() {
		wld.listings = append(wld.listings, yuccapeer.Listing{VM: "far", Centre: "milano", Address: "10.1.0.1:7400"})
		first.view.SetListings(wld.now, wld.listings)
		found, ok := first.view.Find("far")
		Expect(ok).To(BeTrue())
		Expect(found.Address).To(Equal("10.1.0.1:7400"))
		Expect(first.view.Candidates("milano")).To(HaveLen(1))
		_, ok = first.view.Find("nowhere")
		Expect(ok).To(BeFalse())
		Expect(first.view.Status()).To(Equal(yuccapeer.Status{Settled: true, Centres: []yuccapeer.CentreStatus{
			{Centre: first.Centre, Candidates: 3, Live: 3},
			{Centre: "milano", Candidates: 1},
		}}))
	})
})
