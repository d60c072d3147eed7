package yuccalink

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

// peer is one incarnation with its control connections, the newest last.
type peer struct {
	member yuccapeer.Member
	links  []*link
	// aliases are the addresses it was dialled at, beside the one that it names.
	aliases []string
	// crowded says that there is more than one link.
	crowded atomic.Bool

	// calls makes the peer's frames and its OnDown come one after the other. A peer
	// starts with it held, until OnUp has returned.
	calls sync.Mutex
	gone  bool
}

// newest returns the connection to send on: of several, the last one to come up, since
// an older one may have gone silent already.
func (other *peer) newest() *link {
	for _, lk := range slices.Backward(other.links) {
		if !lk.retired.Load() {
			return lk
		}
	}
	return nil
}

func (other *peer) leadsTo(address string) bool {
	named := other.member.Address == address || slices.Contains(other.aliases, address)
	return named && other.newest() != nil
}

func (other *peer) add(lk *link) {
	other.links = append(other.links, lk)
	other.crowded.Store(len(other.links) > 1)
	if lk.wished != "" && !slices.Contains(other.aliases, lk.wished) {
		other.aliases = append(other.aliases, lk.wished)
	}
}

func (other *peer) remove(lk *link) {
	other.links = slices.DeleteFunc(other.links, func(one *link) bool { return one == lk })
	other.crowded.Store(len(other.links) > 1)
}

// deliver hands on one frame.
func (other *peer) deliver(hub *Hub, frame yuccawire.Frame) {
	other.calls.Lock()
	defer other.calls.Unlock()
	if !other.gone {
		hub.onFrame(other.member.Incarnation, frame)
	}
}

// end tells that the peer is down, once the frame in hand is done with.
func (other *peer) end(hub *Hub) {
	other.calls.Lock()
	defer other.calls.Unlock()
	other.gone = true
	hub.onDown(other.member)
}

// install adds a control connection, and the peer if it is new.
//
// A new incarnation at the address of another takes its place: the old one's process has
// ended, and its connections may not have noticed. But an old process may also wake up
// from a pause and dial. So only one that answered when its own address was dialled
// takes a place; install refuses any other with errContested.
func (hub *Hub) install(raw net.Conn, member yuccapeer.Member, wished string) error {
	hub.turn.Lock()
	defer hub.turn.Unlock()
	hub.mu.Lock()
	old := hub.holder(member)
	if err := hub.admits(member, old, wished); err != nil {
		hub.mu.Unlock()
		raw.Close()
		return err
	}
	hub.supersede(old)
	other := hub.peers[member.Incarnation]
	fresh := other == nil
	if fresh {
		other = &peer{member: member}
		other.calls.Lock()
		hub.peers[member.Incarnation] = other
	}
	other.add(newLink(hub, other, raw, wished))
	crowd := len(other.links) - hub.limits.LinksPerPeer
	for i := range crowd {
		other.links[i].retire()
	}
	hub.tellChange()
	hub.mu.Unlock()
	if old != nil {
		old.end(hub)
	}
	if fresh {
		hub.onUp(member)
		other.calls.Unlock()
	}
	return nil
}

// join installs a connection, and dials the address itself when two claim it.
func (hub *Hub) join(raw net.Conn, member yuccapeer.Member, wished string) error {
	err := hub.install(raw, member, wished)
	if !errors.Is(err, errContested) {
		return err
	}
	proven, answering, err := hub.open(hub.ctx, member.Address, yuccawire.PurposeControl)
	if err != nil {
		return err
	}
	if err := hub.install(proven, answering, member.Address); err != nil {
		return err
	}
	if answering.Incarnation == member.Incarnation {
		return nil
	}
	hub.mu.Lock()
	defer hub.mu.Unlock()
	hub.replaced.add(member.Incarnation)
	return &ReplacedError{Incarnation: member.Incarnation}
}

// admits is called with mu held.
func (hub *Hub) admits(member yuccapeer.Member, old *peer, wished string) error {
	if hub.closed {
		return ErrClosed
	}
	if hub.replaced.holds(member.Incarnation) {
		return &ReplacedError{Incarnation: member.Incarnation}
	}
	if old != nil && wished != member.Address {
		return errContested
	}
	return nil
}

// holder returns another incarnation at a member's address. It is called with mu held.
func (hub *Hub) holder(member yuccapeer.Member) *peer {
	for inc, old := range hub.peers {
		if inc != member.Incarnation && old.member.Address == member.Address {
			return old
		}
	}
	return nil
}

// supersede takes out the old incarnation at an address. It is called with mu held.
func (hub *Hub) supersede(old *peer) {
	if old == nil {
		return
	}
	inc := old.member.Incarnation
	delete(hub.peers, inc)
	hub.replaced.add(inc)
	for _, lk := range old.links {
		lk.close(&ReplacedError{Incarnation: inc})
	}
}

// unlink removes a connection that ended, and the peer with its last one.
func (hub *Hub) unlink(lk *link) {
	hub.turn.Lock()
	defer hub.turn.Unlock()
	other := lk.peer
	hub.mu.Lock()
	other.remove(lk)
	last := len(other.links) == 0 && hub.peers[other.member.Incarnation] == other
	if last {
		delete(hub.peers, other.member.Incarnation)
	}
	hub.tellChange()
	hub.mu.Unlock()
	if last {
		other.end(hub)
	}
}

// prune closes the connections older than one that works. Both ends may have dialled;
// if either closed one of its choice, they could close both and begin again, so only
// the end with the smaller name does.
func (hub *Hub) prune(lk *link) {
	if hub.self.Incarnation.String() > lk.peer.member.Incarnation.String() {
		return
	}
	hub.mu.Lock()
	defer hub.mu.Unlock()
	if lk.peer.newest() != lk {
		return
	}
	for _, older := range lk.peer.links {
		if older != lk {
			older.retire()
		}
	}
}

// replacedMax bounds how many replaced incarnations are remembered: several times the
// VMs of a large fleet.
const replacedMax = 2048

// memory remembers the last incarnations that were replaced.
type memory struct {
	known map[yuccaid.Incarnation]struct{}
	order []yuccaid.Incarnation
}

func (mem *memory) holds(inc yuccaid.Incarnation) bool {
	_, ok := mem.known[inc]
	return ok
}

func (mem *memory) add(inc yuccaid.Incarnation) {
	if mem.known == nil {
		mem.known = make(map[yuccaid.Incarnation]struct{})
	}
	if mem.holds(inc) {
		return
	}
	if len(mem.order) == replacedMax {
		delete(mem.known, mem.order[0])
		mem.order = mem.order[1:]
	}
	mem.known[inc] = struct{}{}
	mem.order = append(mem.order, inc)
}

func compareMembers(a, b yuccapeer.Member) int {
	return cmp.Compare(a.Incarnation.String(), b.Incarnation.String())
}
