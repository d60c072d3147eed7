package yuccagate

import (
	"net"
	"testing"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
)

// newPeer starts a daemon of the data centre odessa.
func newPeer(t *testing.T, vm yuccaid.VM, seeds ...string) *Gate {
	t.Helper()
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := Settings{
		VM: vm, Centre: "odessa", Regions: map[yuccaid.Centre]yuccaid.Region{"odessa": "permian"},
		Address: peers.Addr().String(), Seeds: seeds, Key: yuccaid.Key("tests only"), FirstStart: true,
	}
	decode := func([]byte) (*yuccaroute.Table, error) { return yuccaroute.NewTable(1, yuccaroute.Config{}) }
	gate, err := New(settings, Dialect{}, decode, peers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gate.Close)
	return gate
}

// Guards against the failure that a daemon which has decided alone grants a request again that it has passed on to a leader. Nobody
// runs the second grant, so its target seems to hang and gets nothing for a minute once this daemon leads.
func TestRequestsPassedOnToALeaderDoNotWaitHereToo(t *testing.T) {
	first := newPeer(t, "entry-1")
	follower := awaitFollower(t, first, newPeer(t, "entry-2", first.settings.Address))
	follower.control.Call(func(now time.Time) {
		sched := follower.scheduler(now, "desk")
		sched.leader = yuccaid.Incarnation{}
		sched.local.SetTargets(now, []yuccagrant.Target{{Name: "i-1"}})
		id := yuccagrant.ID{Owner: follower.incarnation, Number: 1}
		plc := &placement{
			req: &callerRequest{gate: follower}, pool: "desk", decision: make(chan decision, 1),
			request: yuccagrant.Request{ID: id, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)},
		}
		follower.placements[id.Number] = plc
		follower.submit(now, sched, plc)
		if !sched.local.IsWaiting(id) {
			t.Error("the request doesn't wait here while no leader is known")
		}
		follower.followLeader(now, sched)
		if plc.decidedLocally || sched.local.IsWaiting(id) {
			t.Errorf("the request still waits here: decidedLocally %t, waiting %t", plc.decidedLocally, sched.local.IsWaiting(id))
		}
		delete(follower.placements, id.Number)
	})
}

// awaitFollower waits until two daemons agree which of them leads the pool desk, and returns the other one.
func awaitFollower(t *testing.T, a, b *Gate) *Gate {
	t.Helper()
	leaderOf := func(gate *Gate) (leader yuccaid.Incarnation) {
		gate.control.Call(func(now time.Time) { leader = gate.scheduler(now, "desk").leader })
		return leader
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		switch leader := leaderOf(a); {
		case leader != leaderOf(b) || len(a.hub.Linked()) == 0 || len(b.hub.Linked()) == 0:
		case leader == a.incarnation:
			return b
		case leader == b.incarnation:
			return a
		}
	}
	t.Fatal("the daemons don't agree on a leader")
	return nil
}
