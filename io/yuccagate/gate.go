package yuccagate

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"yuccacleat/core/yuccabudget"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccaspace"
	"yuccacleat/io/yuccahop"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccaloop"
)

// tickEvery is how often waiting requests and beliefs are looked at.
const tickEvery = 20 * time.Millisecond

// Gate is one running gateway.
type Gate struct {
	settings Settings
	dialect  Dialect
	decode   func([]byte) (*yuccaroute.Table, error)
	inc      yuccaid.Incarnation
	log      logger
	metrics  *metrics
	hop      *yuccahop.Client
	room     *room
	bounds   yuccaspace.Bounds
	control  *yuccaloop.Loop
	tables   yuccaroute.Holder
	// began is when the gateway started, and configured is closed once it knows a
	// configuration.
	began      time.Time
	configured chan struct{}
	// leaving is when the daemon was told to end, in Unix nanoseconds, or zero.
	leaving atomic.Int64
	open    atomic.Int64
	numbers atomic.Uint64
	// turned is when a connection was last turned away, in Unix nanoseconds, or zero.
	turned atomic.Int64

	traffic     context.Context
	stopTraffic context.CancelFunc
	workers     sync.WaitGroup

	hub *yuccalink.Hub
	// rests says that another daemon reads the platform for this one.
	rests atomic.Bool

	// The fields below belong to the control goroutine.
	peers     *yuccapeer.Peers
	settled   bool
	looked    time.Time
	dialled   time.Time
	sequence  uint64
	casts     map[castKey]seen
	centres   map[yuccaid.Centre]*centre
	refusedAt map[string]time.Time
	faults    map[string]time.Time
	tableText []byte
	pulled    time.Time

	roster *yuccaroster.Roster
	// told are the targets that the log was last told of.
	told          map[yuccaid.Target]yuccaroster.Entry
	rosterVersion uint64
	targetsPulled time.Time
	platformHeard time.Time
	platformAt    yuccaroster.Revision
	fresh         map[yuccaid.Incarnation]fresh
	freshTold     time.Time

	ledger  *yuccaquota.Ledger
	useTold time.Time
	useCast time.Time
	// wholeDue says that another data centre may lack what this one let in.
	wholeDue bool
	wholeAt  time.Time
	budget   *yuccabudget.Budget

	desks   map[yuccaid.Pool]*desk
	tickets map[uint64]*ticket
	swept   time.Time
}

// Option changes how a gateway is built.
type Option func(*Gate)

// WithLog sends the gateway's lines to a logger.
func WithLog(target log.Logger) Option {
	return func(gate *Gate) { gate.log = logger{target: target} }
}

// New starts a gateway that takes peers' connections on the listener; decode reads the text
// of a configuration.
func New(settings Settings, dialect Dialect, decode func([]byte) (*yuccaroute.Table, error), peers net.Listener, options ...Option) (*Gate, error) {
	var nonce [16]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, err
	}
	bounds := yuccaspace.BoundsOf(settings.Machine)
	gate := &Gate{
		settings: settings,
		dialect:  dialect,
		decode:   decode,
		inc:      yuccaid.NewIncarnation(settings.VM, nonce),
		log:      logger{target: log.NewNopLogger()},
		metrics:  newMetrics(),
		hop:      newHop(bounds),
		room:     newRoom(bounds.RequestMemory),
		bounds:   bounds,
		began:    time.Now(),

		configured: make(chan struct{}),

		casts:   make(map[castKey]seen),
		centres: make(map[yuccaid.Centre]*centre),

		refusedAt: make(map[string]time.Time),
		faults:    make(map[string]time.Time),
		roster:    yuccaroster.New(),
		fresh:     make(map[yuccaid.Incarnation]fresh),
		ledger:    yuccaquota.New(settings.Bounds.tolerance(), yuccaquota.WithSalt(mathrand.Uint64())),
		budget:    yuccabudget.New(settings.Bounds.resends()),
		desks:     make(map[yuccaid.Pool]*desk),
		tickets:   make(map[uint64]*ticket),
	}
	for _, option := range options {
		option(gate)
	}
	gate.traffic, gate.stopTraffic = context.WithCancel(context.Background())
	self := yuccapeer.Member{VM: settings.VM, Centre: settings.Centre, Address: settings.Address, Incarnation: gate.inc}
	gate.peers = yuccapeer.New(self, yuccapeer.WithSeeds(settings.Seeds...), yuccapeer.WithTiming(peerTiming()))
	gate.looked = gate.began
	if !settings.FirstStart {
		gate.ledger.MarkWithoutHistory(gate.began)
	}
	ready := make(chan struct{})
	gate.control = yuccaloop.New(ready, tickEvery, gate.tick)
	gate.hub = yuccalink.New(self, settings.Key, peers,
		yuccalink.WithLimits(linkLimits()),
		yuccalink.OnFrame(gate.onFrame),
		yuccalink.OnUp(gate.onUp),
		yuccalink.OnDown(gate.onDown),
		yuccalink.OnFault(gate.onFault),
	)
	close(ready)
	gate.control.Post(func(time.Time) { gate.hub.Connect(gate.peers.Dial()) })
	return gate, nil
}

func newHop(bounds yuccaspace.Bounds) *yuccahop.Client {
	limits := yuccahop.DefaultLimits()
	limits.IdleTotal = bounds.IdleConnections
	return yuccahop.New(yuccahop.WithLimits(limits))
}

// Ready reports whether callers may be sent here.
func (gate *Gate) Ready() bool {
	return gate.tables.Load() != nil && !gate.draining() && !gate.crowded(time.Now())
}

// Close ends everything at once; Drain comes first where requests are to be finished.
func (gate *Gate) Close() {
	gate.stopTraffic()
	gate.control.Close()
	gate.hub.Close()
	gate.hop.Close()
	gate.workers.Wait()
}

// ReadyHandler answers whether callers may be sent here.
func (gate *Gate) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !gate.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// MetricsHandler serves the metrics.
func (gate *Gate) MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		gate.WriteMetrics(w)
	})
}

// Reload takes over changed seeds and bounds. What is counted stays, and nothing that runs
// notices.
func (gate *Gate) Reload(settings Settings) {
	gate.control.Post(func(now time.Time) {
		gate.settings.Seeds, gate.settings.Bounds = settings.Seeds, settings.Bounds
		gate.peers.SetSeeds(settings.Seeds)
		gate.ledger.SetTolerance(now, settings.Bounds.tolerance())
		gate.budget.SetBounds(settings.Bounds.resends())
		gate.hub.Connect(gate.peers.Dial())
	})
}

// tick runs on the control goroutine every tickEvery, and first after a pause.
func (gate *Gate) tick(now time.Time) {
	gate.tickPeers(now)
	gate.roster.Tick(now)
	gate.refreshTargets(now)
	gate.tickReader(now)
	gate.tickUse(now)
	gate.tickDesks(now)
	if now.Sub(gate.swept) > time.Second {
		gate.swept = now
		gate.hop.Sweep(now)
	}
}
