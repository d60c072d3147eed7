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

// peer is an incarnation of another daemon with its control connections, the newest last.
type peer struct {
	member yuccapeer.Member
	links  []*link
	// aliases are the addresses at which the peer was dialled, other than the one that it reports.
	aliases []string
	// hasSeveralLinks reports whether there is more than one link.
	hasSeveralLinks atomic.Bool

	// callbacks serializes the calls of OnFrame and OnDown for this peer. It is locked until OnUp
	// has returned.
	callbacks sync.Mutex
	gone      bool
}

// newest returns the connection to send on. If there are several, this is the newest, because an older
// one may have gone silent.
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
	other.hasSeveralLinks.Store(len(other.links) > 1)
	if lk.dialled != "" && !slices.Contains(other.aliases, lk.dialled) {
		other.aliases = append(other.aliases, lk.dialled)
	}
}

func (other *peer) remove(lk *link) {
	other.links = slices.DeleteFunc(other.links, func(one *link) bool { return one == lk })
	other.hasSeveralLinks.Store(len(other.links) > 1)
}

// deliver passes a frame to OnFrame, unless the peer is gone.
func (other *peer) deliver(hub *Hub, frame yuccawire.Frame) {
	other.callbacks.Lock()
	defer other.callbacks.Unlock()
	if !other.gone {
		hub.onFrame(other.member.Incarnation, frame)
	}
}

// end calls OnDown after the frame that is being handled.
func (other *peer) end(hub *Hub) {
	other.callbacks.Lock()
	defer other.callbacks.Unlock()
	other.gone = true
	hub.onDown(other.member)
}

// install adds a control connection, and the peer if it is new.
//
// If another incarnation is connected under the same address, its process has probably ended and its
// connections haven't failed yet. But the newcomer may also be an old process that has resumed after a
// pause and has dialled this daemon. So it replaces the other only if it answered when its address was
// dialled. Otherwise install fails with errContested.
func (hub *Hub) install(raw net.Conn, member yuccapeer.Member, dialled string) error {
	hub.upDownOrder.Lock()
	defer hub.upDownOrder.Unlock()
	hub.mu.Lock()
	old := hub.peerAt(member)
	if err := hub.mayInstall(member, old, dialled); err != nil {
		hub.mu.Unlock()
		raw.Close()
		return err
	}
	superseded := hub.supersede(old)
	other := hub.peers[member.Incarnation]
	fresh := other == nil
	if fresh {
		other = &peer{member: member}
		other.callbacks.Lock()
		hub.peers[member.Incarnation] = other
	}
	other.add(newLink(hub, other, raw, dialled))
	surplus := len(other.links) - hub.limits.LinksPerPeer
	for i := range surplus {
		other.links[i].retire()
	}
	hub.notifyChange()
	hub.mu.Unlock()
	// Closing reports the fault, and whoever takes it may wait for a goroutine that uses the hub.
	for _, lk := range superseded {
		lk.close(&ReplacedError{Incarnation: old.member.Incarnation})
	}
	if old != nil {
		old.end(hub)
	}
	if fresh {
		hub.onUp(member)
		other.callbacks.Unlock()
	}
	return nil
}

// join installs a connection. If two incarnations claim the address, it dials the address to find out
// which of them answers.
func (hub *Hub) join(raw net.Conn, member yuccapeer.Member, dialled string) error {
	err := hub.install(raw, member, dialled)
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

// mayInstall returns an error if a member's connection must not be added. The caller must hold mu.
func (hub *Hub) mayInstall(member yuccapeer.Member, old *peer, dialled string) error {
	if hub.closed {
		return ErrClosed
	}
	if hub.replaced.contains(member.Incarnation) {
		return &ReplacedError{Incarnation: member.Incarnation}
	}
	if old != nil && dialled != member.Address {
		return errContested
	}
	return nil
}

// peerAt returns another incarnation that is connected under the member's address, or nil. The caller
// must hold mu.
func (hub *Hub) peerAt(member yuccapeer.Member) *peer {
	for inc, old := range hub.peers {
		if inc != member.Incarnation && old.member.Address == member.Address {
			return old
		}
	}
	return nil
}

// supersede removes the old incarnation at an address and refuses it from then on. It returns the connections that the
// caller, who must hold mu, has to close once it holds mu no more.
func (hub *Hub) supersede(old *peer) []*link {
	if old == nil {
		return nil
	}
	inc := old.member.Incarnation
	delete(hub.peers, inc)
	hub.replaced.add(inc)
	return slices.Clone(old.links)
}

// unlink removes a connection that has ended, and the peer if it was its last one.
func (hub *Hub) unlink(lk *link) {
	hub.upDownOrder.Lock()
	defer hub.upDownOrder.Unlock()
	other := lk.peer
	hub.mu.Lock()
	other.remove(lk)
	last := len(other.links) == 0 && hub.peers[other.member.Incarnation] == other
	if last {
		delete(hub.peers, other.member.Incarnation)
	}
	hub.notifyChange()
	hub.mu.Unlock()
	if last {
		other.end(hub)
	}
}

// prune closes the connections that are older than the given one, which works. Both daemons may have
// dialled. If each closed a connection of its choice, they could close both, so only the daemon whose
// incarnation comes first in order closes any.
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

// replacedMax bounds the number of replaced incarnations that are kept. It is several times the number
// of VMs of a large fleet.
const replacedMax = 2048

// incarnationSet is a set of incarnations. When it is full, the oldest is removed.
type incarnationSet struct {
	known map[yuccaid.Incarnation]struct{}
	order []yuccaid.Incarnation
}

func (set *incarnationSet) contains(inc yuccaid.Incarnation) bool {
	_, ok := set.known[inc]
	return ok
}

func (set *incarnationSet) add(inc yuccaid.Incarnation) {
	if set.known == nil {
		set.known = make(map[yuccaid.Incarnation]struct{})
	}
	if set.contains(inc) {
		return
	}
	if len(set.order) == replacedMax {
		delete(set.known, set.order[0])
		set.order = set.order[1:]
	}
	set.known[inc] = struct{}{}
	set.order = append(set.order, inc)
}

func compareMembers(a, b yuccapeer.Member) int {
	return cmp.Compare(a.Incarnation.String(), b.Incarnation.String())
}
