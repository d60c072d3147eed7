package yuccalink

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

// Hub holds a daemon's connections to the other daemons.
type Hub struct {
	self     yuccapeer.Member
	key      yuccaid.Key
	listener net.Listener
	limits   Limits

	onFrame   func(yuccaid.Incarnation, yuccawire.Frame)
	onUp      func(yuccapeer.Member)
	onDown    func(yuccapeer.Member)
	onTraffic func(*Conn)
	onFault   func(string, error)

	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	pending *pendingHandshakes
	counters

	// upDownOrder keeps the calls of OnUp and OnDown in the order in which peers connect and
	// disconnect. It is locked before mu and held during those calls. The mutex mu is never held
	// during a call.
	upDownOrder sync.Mutex
	mu          sync.Mutex
	// The mutex mu guards the fields below.
	closed   bool
	peers    map[yuccaid.Incarnation]*peer
	dialers  map[string]*dialer
	traffic  map[*Conn]struct{}
	replaced incarnationSet
	changed  chan struct{}
}

// New returns a hub. If the listener isn't nil, the hub accepts connections on it until Close.
func New(self yuccapeer.Member, key yuccaid.Key, listener net.Listener, options ...Option) *Hub {
	hub := &Hub{
		self:      self,
		key:       key,
		listener:  listener,
		limits:    DefaultLimits(),
		onFrame:   func(yuccaid.Incarnation, yuccawire.Frame) {},
		onUp:      func(yuccapeer.Member) {},
		onDown:    func(yuccapeer.Member) {},
		onTraffic: func(conn *Conn) { conn.Close() },
		onFault:   func(string, error) {},
		peers:     make(map[yuccaid.Incarnation]*peer),
		dialers:   make(map[string]*dialer),
		traffic:   make(map[*Conn]struct{}),
		changed:   make(chan struct{}),
	}
	for _, option := range options {
		option(hub)
	}
	hub.pending = &pendingHandshakes{limit: hub.limits.HalfOpen}
	hub.ctx, hub.cancel = context.WithCancel(context.Background())
	if listener != nil {
		hub.group.Go(func() { hub.acceptAll() })
	}
	return hub
}

// Connect sets the addresses to which the hub keeps up control connections. A connection that the peer
// has dialled counts as well. Connections that this daemon has dialled to other addresses are closed.
func (hub *Hub) Connect(addresses []string) {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	if hub.closed {
		return
	}
	for address, dial := range hub.dialers {
		if !slices.Contains(addresses, address) {
			dial.cancel()
			delete(hub.dialers, address)
			hub.retireDialled(address)
		}
	}
	for _, address := range addresses {
		if address != hub.self.Address && hub.dialers[address] == nil {
			hub.dialers[address] = newDialer(hub, address)
		}
	}
}

// Send queues a control message for a daemon. It doesn't block.
func (hub *Hub) Send(to yuccaid.Incarnation, kind yuccawire.Kind, body any) error {
	raw, err := yuccawire.Encode(kind, body)
	if err != nil {
		return err
	}
	hub.mu.Lock()
	defer hub.mu.Unlock()
	other := hub.peers[to]
	if other == nil {
		return ErrNoLink
	}
	lk := other.newest()
	if lk == nil {
		return ErrNoLink
	}
	return lk.enqueue(kind, raw)
}

// Dial opens a traffic connection.
func (hub *Hub) Dial(ctx context.Context, address string) (*Conn, error) {
	raw, member, err := hub.open(ctx, address, yuccawire.PurposeTraffic)
	if err != nil {
		return nil, err
	}
	return hub.startTraffic(raw, member)
}

// Counts returns the number and size of the messages on the hub's connections, by kind, without the
// handshakes.
func (hub *Hub) Counts() []Count { return hub.counts() }

// Linked returns the daemons with a control connection, in the order of their names.
func (hub *Hub) Linked() []yuccapeer.Member {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	var members []yuccapeer.Member
	for _, other := range hub.peers {
		members = append(members, other.member)
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// Links returns the number of control connections to all peers.
func (hub *Hub) Links() int {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	sum := 0
	for _, other := range hub.peers {
		sum += len(other.links)
	}
	return sum
}

// HalfOpen returns the number of accepted connections that are in their handshake.
func (hub *Hub) HalfOpen() int { return hub.pending.size() }

// Close stops accepting and dialling, waits for up to Limits.Farewell until queued control messages are
// sent, closes all connections and waits for the hub's goroutines.
func (hub *Hub) Close() {
	hub.mu.Lock()
	first := !hub.closed
	hub.closed = true
	hub.mu.Unlock()
	if first {
		hub.stop()
	}
	hub.group.Wait()
}

func (hub *Hub) stop() {
	hub.cancel()
	if hub.listener != nil {
		hub.listener.Close()
	}
	hub.pending.closeAll()
	links, conns := hub.all()
	for _, conn := range conns {
		conn.Close()
	}
	for _, lk := range links {
		lk.retire()
	}
	late := time.AfterFunc(hub.limits.Farewell, func() {
		for _, lk := range links {
			lk.close(ErrClosed)
		}
	})
	for _, lk := range links {
		<-lk.done
	}
	late.Stop()
}

func (hub *Hub) all() ([]*link, []*Conn) {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	var links []*link
	for _, other := range hub.peers {
		links = append(links, other.links...)
	}
	var conns []*Conn
	for conn := range hub.traffic {
		conns = append(conns, conn)
	}
	return links, conns
}

// retireDialled closes the control connections that were dialled to an address.
func (hub *Hub) retireDialled(address string) {
	for _, other := range hub.peers {
		for _, lk := range other.links {
			if lk.dialled == address {
				lk.retire()
			}
		}
	}
}

// reaches reports whether a usable control connection leads to the address.
func (hub *Hub) reaches(address string) bool {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	for _, other := range hub.peers {
		if other.leadsTo(address) {
			return true
		}
	}
	return false
}

// change returns a channel that is closed when the next link is added or removed.
func (hub *Hub) change() <-chan struct{} {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	return hub.changed
}

// notifyChange closes the channel that change has returned. The caller must hold mu.
func (hub *Hub) notifyChange() {
	close(hub.changed)
	hub.changed = make(chan struct{})
}
