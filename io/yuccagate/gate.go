package yuccagate

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/io/yuccahop"
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
	control  *yuccaloop.Loop
	tables   yuccaroute.Holder
	// leaving is when the daemon was told to end, in Unix nanoseconds, or zero.
	leaving  atomic.Int64
	open     atomic.Int64
	numbers  atomic.Uint64

	traffic     context.Context
	stopTraffic context.CancelFunc
	workers     sync.WaitGroup

	// The fields below belong to the control goroutine.
	roster        *yuccaroster.Roster
	rosterVersion uint64
	desks         map[yuccaid.Pool]*desk
	tickets       map[uint64]*ticket
	swept         time.Time
}

// Option changes how a gateway is built.
type Option func(*Gate)

// WithLog sends the gateway's lines to a logger.
func WithLog(target log.Logger) Option {
	return func(gate *Gate) { gate.log = logger{target: target} }
}

// New starts a gateway; decode reads the text of a configuration.
func New(settings Settings, dialect Dialect, decode func([]byte) (*yuccaroute.Table, error), options ...Option) (*Gate, error) {
	var nonce [16]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, err
	}
	gate := &Gate{
		settings: settings,
		dialect:  dialect,
		decode:   decode,
		inc:      yuccaid.NewIncarnation(settings.VM, nonce),
		log:      logger{target: log.NewNopLogger()},
		metrics:  newMetrics(),
		hop:      yuccahop.New(),
		roster:   yuccaroster.New(),
		desks:    make(map[yuccaid.Pool]*desk),
		tickets:  make(map[uint64]*ticket),
	}
	for _, option := range options {
		option(gate)
	}
	gate.traffic, gate.stopTraffic = context.WithCancel(context.Background())
	ready := make(chan struct{})
	gate.control = yuccaloop.New(ready, tickEvery, gate.tick)
	close(ready)
	return gate, nil
}

// Ready reports whether callers may be sent here.
func (gate *Gate) Ready() bool {
	return gate.tables.Load() != nil && !gate.draining()
}

// Close ends everything at once; Drain comes first where requests are to be finished.
func (gate *Gate) Close() {
	gate.stopTraffic()
	gate.control.Close()
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

// tick runs on the control goroutine every tickEvery, and first after a pause.
func (gate *Gate) tick(now time.Time) {
	if gone := gate.roster.Tick(now); len(gone) > 0 {
		gate.log.belief("targets gone", "targets", gone)
	}
	gate.refreshTargets(now)
	for pool, dsk := range gate.desks {
		gate.apply(now, pool, dsk.own.Tick(now))
	}
	if now.Sub(gate.swept) > time.Second {
		gate.swept = now
		gate.hop.Sweep(now)
	}
}

// desk decides for one pool.
type desk struct {
	own *yuccagrant.Leader
}

func (gate *Gate) desk(now time.Time, pool yuccaid.Pool) *desk {
	dsk := gate.desks[pool]
	if dsk == nil {
		seed := mathrand.NewPCG(mathrand.Uint64(), uint64(now.UnixNano()))
		dsk = &desk{own: yuccagrant.New(mathrand.New(seed))}
		gate.desks[pool] = dsk
		dsk.own.Configure(now, gate.targets(pool))
	}
	return dsk
}
