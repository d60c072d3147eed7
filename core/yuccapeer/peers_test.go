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

// leaders returns whom a process takes for the leaders of some pools.
func leaders(one *run) []yuccaid.Incarnation {
	var all []yuccaid.Incarnation
	for i := range 8 {
		if leader, ok := one.peers.Leader(poolNamed(i)); ok {
			all = append(all, leader.Incarnation)
		}
	}
	return all
}

// disagreement compares the views of the processes that can reach each other with the
// truth, which only the world knows.
func (wld *world) disagreement() string {
	for _, one := range wld.alive() {
		for _, member := range one.peers.Live(one.Centre) {
			age := wld.now.Sub(one.heard[member.Incarnation])
			if member.Incarnation != one.Incarnation && age > yuccapeer.DefaultTiming().ExpireAfter+wld.step {
				return fmt.Sprintf("%s holds %s for live after %s", one.VM, member.VM, age)
			}
		}
	}
	if !wld.quiet() {
		return ""
	}
	for _, one := range wld.alive() {
		if wld.haunted(one.side) {
			continue
		}
		var top yuccaid.ConfigNumber
		for _, other := range wld.alive() {
			if one.side != other.side {
				continue
			}
			top = max(top, other.number)
			if slices.ContainsFunc(leaders(one), func(inc yuccaid.Incarnation) bool { return wld.ended[inc] }) {
				return fmt.Sprintf("%s names a leader that was replaced", one.VM)
			}
			if ours, theirs := leaders(one), leaders(other); !slices.Equal(ours, theirs) {
				return fmt.Sprintf("%s names %v and %s names %v", one.VM, ours, other.VM, theirs)
			}
		}
		if !one.peers.Settled() {
			return fmt.Sprintf("%s names no leaders", one.VM)
		}
		if found := one.peers.NewerConfig().Number; top > one.number && found != top {
			return fmt.Sprintf("%s has %d and takes %d for the highest, not %d", one.VM, one.number, found, top)
		}
	}
	return ""
}

// haunted reports whether a process that was replaced still answers on a side where its
// successor doesn't: nobody there can tell, and views may differ on it.
func (wld *world) haunted(side int) bool {
	return slices.ContainsFunc(wld.runs, func(old *run) bool {
		return old.side == side && !old.dead && wld.ended[old.Incarnation] &&
			!slices.ContainsFunc(wld.alive(), func(one *run) bool { return one.VM == old.VM && one.side == side })
	})
}

// Data centres are cut in two, processes are paused, die, come back as others or leave,
// and messages are lost, late or doubled, in any order and at once. If an old process
// could come back, or two leaders last, a target would be given twice the work for as
// long, and urgent requests would wait behind it.
func TestMembersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wld := newWorld(rapid.Uint64().Draw(t, "seed"), 100*time.Millisecond, 1, 5)
		pick := func() *run { return rapid.SampledFrom(wld.runs).Draw(t, "run") }
		disturb := func(act func(one *run)) func(*rapid.T) {
			return func(*rapid.T) {
				if one := pick(); !one.dead {
					act(one)
					wld.disturbed(wld.now)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { wld.advance(rapid.IntRange(1, 100).Draw(t, "steps")) },
			"cut":  disturb(func(one *run) { one.side = 1 }),
			"heal": disturb(func(*run) {
				for _, one := range wld.runs {
					one.side = 0
				}
			}),
			"pause": disturb(func(one *run) { one.paused = true }),
			"wake": disturb(func(one *run) {
				one.paused = false
				wld.turn(one)
			}),
			"noise": disturb(func(*run) { wld.noisy = !wld.noisy }),
			"restart": disturb(func(one *run) {
				if !wld.ended[one.Incarnation] {
					wld.replace(one, rapid.Bool().Draw(t, "died"))
				}
			}),
			"leave": disturb(func(one *run) {
				if !one.paused {
					wld.apply(one, one.peers.Leave(wld.now))
				}
			}),
			"accept": disturb(func(one *run) {
				if !one.paused {
					one.number++
					digest := yuccaid.Digest(fmt.Sprint(one.number))
					wld.apply(one, one.peers.SetConfig(wld.now, one.number, digest))
				}
			}),
			"": func(t *rapid.T) {
				if broken := wld.broken + wld.disagreement(); broken != "" {
					t.Fatal(broken)
				}
			},
		})
		wld.noisy = false
		wld.advance(200)
		if broken := wld.broken + wld.disagreement(); broken != "" {
			t.Fatalf("after 20 quiet seconds: %s", broken)
		}
	})
}

// Any VMs may be gone, and one data centre may be cut off from all others. News of a
// configuration that only one daemon has read would then not reach some data centre,
// and withdrawn targets would go on being used there.
func TestNewsReachesEveryCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const centres, count = 6, 4
		wld := newWorld(1, 500*time.Millisecond, centres, count)
		wld.advance(20)
		for _, one := range wld.runs {
			one.dead = rapid.Float64Range(0, 1).Draw(t, one.Address) < 0.6
		}
		if rapid.Bool().Draw(t, "cut") {
			for _, one := range wld.runs[:count] {
				one.side = 1
			}
		}
		// Long enough for a gateway to try every VM of another data centre.
		wld.advance(2 * int((count+3)*yuccapeer.DefaultTiming().GatewayConnectTimeout/time.Second))
		alive := wld.alive()
		for _, one := range alive {
			for _, other := range alive {
				if one.side == other.side && !reached(one)[other.Incarnation] {
					t.Fatalf("nothing leads from %s to %s", one.Address, other.Address)
				}
			}
		}
	})
}

// reached walks over connections from one process.
func reached(from *run) map[yuccaid.Incarnation]bool {
	seen := map[yuccaid.Incarnation]bool{from.Incarnation: true}
	for queue := []*run{from}; len(queue) > 0; queue = queue[1:] {
		for _, between := range queue[0].bonds {
			for _, end := range between.ends {
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
	var first, second *run
	BeforeEach(func() {
		wld = newWorld(1, 100*time.Millisecond, 1, 3)
		wld.advance(100)
		first, second = wld.runs[0], wld.runs[1]
	})

	// A process is paused, or its whole VM is suspended, and wakes up minutes later. If
	// it went on as the leader that it was, it would grant work that its successor has
	// long given to others.
	DescribeTable("expires before anything else after a pause",
		func(wake func() yuccapeer.Change) {
			change := wake()
			Expect(change.Resumed).To(BeTrue())
			Expect(change.PausedFor).To(BeNumerically(">=", time.Minute))
			Expect(change.Removed).To(HaveLen(2))
			Expect(first.peers.Live(first.Centre)).To(Equal([]yuccapeer.Member{first.Member}))
			_, settled := first.peers.Leader("drafts")
			Expect(settled).To(BeFalse())
		},
		Entry("that its own ticks show", func() yuccapeer.Change {
			return first.peers.Tick(wld.now.Add(time.Minute))
		}),
		Entry("that only the wall clock shows", func() yuccapeer.Change {
			return first.peers.CheckClocks(wld.now, 100*time.Millisecond, time.Minute+100*time.Millisecond)
		}),
	)

	It("doesn't expire when the wall clock is set back or runs a little ahead", func() {
		for _, wall := range []time.Duration{-time.Hour, 0, 2 * time.Second} {
			Expect(first.peers.CheckClocks(wld.now, time.Second, wall)).To(BeZero())
		}
	})

	It("keeps a member whose connection broke for long enough to dial again", func() {
		first.peers.HandleDisconnect(wld.now, second.Incarnation)
		Expect(first.peers.Tick(wld.now.Add(900 * time.Millisecond)).Removed).To(BeEmpty())
		Expect(first.peers.Tick(wld.now.Add(1100 * time.Millisecond)).Removed).To(ConsistOf(second.Member))
	})

	It("takes nothing that came on no connection of its sender", func() {
		first.peers.HandleDisconnect(wld.now, second.Incarnation)
		wld.now = wld.now.Add(time.Second)
		Expect(first.peers.HandlePulse(wld.now, second.Incarnation, yuccapeer.Pulse{Sequence: 1e6, Version: 1})).To(BeZero())
		Expect(first.peers.Tick(wld.now).Removed).To(ConsistOf(second.Member))
	})

	It("has leaving members lead only when nobody else is left", func() {
		for _, one := range wld.runs[:2] {
			wld.apply(one, one.peers.Leave(wld.now))
		}
		wld.advance(10)
		for i := range 8 {
			leader, _ := first.peers.Leader(poolNamed(i))
			Expect(leader).To(Equal(wld.runs[2].Member))
		}
		wld.runs[2].dead = true
		wld.advance(100)
		leader, ok := first.peers.Leader("drafts")
		Expect(ok).To(BeTrue())
		Expect(leader.Leaving).To(BeTrue())
	})

	It("names peers with another content under our number", func() {
		wld.apply(first, first.peers.SetConfig(wld.now, 1, "a"))
		beat := second.peers.Heartbeat()
		beat.Sequence, beat.Version, beat.Number, beat.Digest = 1e6, 1e6, 1, "b"
		Expect(first.peers.HandleHeartbeat(wld.now, beat).Diverged).To(HaveLen(1))
	})

	It("hears from the platform that its own VM is leaving", func() {
		wld.listings[0].Leaving = true
		first.peers.SetListings(wld.now, wld.listings)
		Expect(first.peers.ListedLeaving()).To(BeTrue())
		Expect(second.peers.ListedLeaving()).To(BeFalse())
	})

	// The platform's service is down while a VM is replaced. The new daemon knows the
	// addresses from its settings alone and has to find all others through them.
	It("grows from one seed when the platform is down", func() {
		self := first.Member
		self.VM, self.Address = "vm-9", "10.0.0.9:7400"
		self.Incarnation = yuccaid.NewIncarnation("vm-9", [16]byte{9})
		fresh := yuccapeer.New(self, yuccapeer.WithSeeds(second.Address))
		fresh.Tick(wld.now)
		Expect(fresh.Dial()).To(Equal([]string{second.Address}))
		second.peers.HandleConnect(wld.now, self)
		Expect(second.peers.HandleHeartbeat(wld.now, fresh.Heartbeat()).RosterRecipients).To(ConsistOf(self.Incarnation))
		fresh.AddListings(wld.now, second.peers.Roster())
		Expect(fresh.Dial()).To(HaveLen(3))
		fresh.Tick(wld.now.Add(2 * time.Hour))
		Expect(fresh.Dial()).To(Equal([]string{second.Address}))
	})

	// A fleet without a list starts, and the first seed that a daemon reaches is one of its own
	// data centre. If it asked no further, data centres would never hear of one another:
	// accounts would get their quota in each of them.
	It("asks the seeds of other data centres too, until somebody has named them", func() {
		far := yuccapeer.Member{VM: "far", Centre: "milano", Address: "10.1.0.1:7400"}
		far.Incarnation = yuccaid.NewIncarnation("far", [16]byte{7})
		self := first.Member
		self.VM, self.Address = "vm-9", "10.0.0.9:7400"
		self.Incarnation = yuccaid.NewIncarnation("vm-9", [16]byte{9})
		fresh := yuccapeer.New(self, yuccapeer.WithSeeds(second.Address, far.Address, "10.2.0.1:7400", self.Address))
		fresh.Tick(wld.now)
		fresh.HandleConnect(wld.now, second.Member)
		fresh.HandleHeartbeat(wld.now, second.peers.Heartbeat())
		Expect(fresh.Dial()).To(Equal([]string{second.Address, far.Address, "10.2.0.1:7400"}))
		fresh.AddListings(wld.now, []yuccapeer.Listing{{VM: far.VM, Centre: far.Centre, Address: far.Address}})
		Expect(fresh.Dial()).To(Equal([]string{second.Address, "10.2.0.1:7400"}))
	})

	// A hundred daemons start and each asks the seeds elsewhere. Those that aren't gateways let
	// go as soon as they have met, before a roster has come back over the long way. If they
	// forgot whom they met, they would dial again and again, and the seeds would do nothing
	// but greet.
	It("doesn't dial a seed elsewhere again once it has heard it", func() {
		far := yuccapeer.Member{VM: "far", Centre: "milano", Address: "10.1.0.1:7400"}
		far.Incarnation = yuccaid.NewIncarnation("far", [16]byte{7})
		there := yuccapeer.New(far)
		self := first.Member
		self.VM, self.Address = "vm-9", "10.0.0.9:7400"
		self.Incarnation = yuccaid.NewIncarnation("vm-9", [16]byte{9})
		fresh := yuccapeer.New(self, yuccapeer.WithSeeds(second.Address, far.Address))
		fresh.Tick(wld.now)
		fresh.HandleConnect(wld.now, second.Member)
		fresh.HandleHeartbeat(wld.now, second.peers.Heartbeat())
		fresh.HandleConnect(wld.now, far)
		fresh.HandleHeartbeat(wld.now, there.Heartbeat())
		fresh.HandleDisconnect(wld.now, far.Incarnation)
		later := wld.now.Add(5 * time.Second)
		fresh.Tick(later)
		Expect(fresh.Live("milano")).To(BeEmpty(), "it isn't heard any more")
		Expect(fresh.Candidates("milano")).To(HaveLen(1))
		fresh.Tick(wld.now.Add(2 * time.Hour))
		Expect(fresh.Candidates("milano")).To(BeEmpty())
		Expect(fresh.Dial()).To(ContainElement(far.Address), "nobody remembers it")
	})

	// Without a list, a roster answers every whole heartbeat, and each change of configuration
	// brings one from every peer: a hundred daemons would send each other ten thousand.
	It("sends a roster once for each connection", func() {
		unlisted := second.peers.Heartbeat()
		unlisted.Unlisted = true
		unlisted.Sequence += 10
		Expect(first.peers.HandleHeartbeat(wld.now, unlisted).RosterRecipients).To(HaveLen(1))
		unlisted.Sequence++
		unlisted.Version++
		Expect(first.peers.HandleHeartbeat(wld.now, unlisted).RosterRecipients).To(BeEmpty())
		first.peers.HandleDisconnect(wld.now, unlisted.Incarnation)
		first.peers.HandleConnect(wld.now, second.Member)
		unlisted.Sequence++
		Expect(first.peers.HandleHeartbeat(wld.now, unlisted).RosterRecipients).To(HaveLen(1))
	})

	It("finds daemons of other data centres on the list", func() {
		wld.listings = append(wld.listings, yuccapeer.Listing{VM: "far", Centre: "milano", Address: "10.1.0.1:7400"})
		first.peers.SetListings(wld.now, wld.listings)
		found, ok := first.peers.Find("far")
		Expect(ok).To(BeTrue())
		Expect(found.Address).To(Equal("10.1.0.1:7400"))
		Expect(first.peers.Candidates("milano")).To(HaveLen(1))
		_, ok = first.peers.Find("nowhere")
		Expect(ok).To(BeFalse())
		Expect(first.peers.Status()).To(Equal(yuccapeer.Status{Settled: true, Centres: []yuccapeer.CentreStatus{
			{Centre: first.Centre, Candidates: 3, Live: 3},
			{Centre: "milano", Candidates: 1},
		}}))
	})
})

var _ = Describe("leaders", func() {
	It("are spread, and move only for the member that came or went", func() {
		const members, pools = 28, 1000
		wld := newWorld(1, 500*time.Millisecond, 1, members)
		wld.advance(20)
		watcher, going := wld.runs[0], wld.runs[5]
		led := func() []yuccaid.VM {
			var vms []yuccaid.VM
			for i := range pools {
				leader, ok := watcher.peers.Leader(poolNamed(i))
				Expect(ok).To(BeTrue())
				vms = append(vms, leader.VM)
			}
			return vms
		}
		before := led()
		share := make(map[yuccaid.VM]int)
		for _, vm := range before {
			share[vm]++
		}
		Expect(share).To(HaveLen(members))
		Expect(share).To(HaveEach(And(BeNumerically(">", pools/members/3), BeNumerically("<", 3*pools/members))))
		going.dead = true
		wld.advance(20)
		moved := 0
		for i, vm := range led() {
			if vm != before[i] {
				moved++
				Expect(before[i]).To(Equal(going.VM))
			}
		}
		Expect(moved).To(Equal(share[going.VM]))
		wld.start(yuccapeer.Listing{VM: going.VM, Centre: going.Centre, Address: going.Address})
		wld.advance(20)
		Expect(led()).To(Equal(before))
	})
})
