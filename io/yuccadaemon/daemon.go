package yuccadaemon

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccashift"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccaclock"
	"yuccacleat/io/yuccaconf"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccaloop"
	"yuccacleat/io/yuccaplat"
	"yuccacleat/io/yuccatarget"
	"yuccacleat/io/yuccawire"
)

// tickEvery is how often deadlines, heartbeats and leadership are looked at.
const tickEvery = 50 * time.Millisecond

// Daemon is one running process of the scheduler.
type Daemon struct {
	settings *yuccaconf.Settings
	key      yuccaid.Key
	self     yuccapeer.Member
	log      logger
	metrics  *metrics
	audit    *audit

	platform *yuccaplat.Reader
	targets  *yuccatarget.Client
	hub      *yuccalink.Hub
	control  *yuccaloop.Loop

	// traffic ends when the daemon closes; everything that relays hangs on it.
	traffic     context.Context
	stopTraffic context.CancelFunc
	workers     sync.WaitGroup

	state    atomic.Pointer[yuccastate.State]
	ready    atomic.Bool
	settled  atomic.Bool
	draining atomic.Bool

	// The fields below belong to the control goroutine.
	owner      *yuccaonce.Owner
	runs       map[yuccaid.RequestID]*run
	kept       *yuccaonce.AnswerBuffer[*Answer]
	held       yuccaid.Bytes
	peers      *yuccapeer.Peers
	leads      map[yuccaid.Pool]*lead
	guests     map[yuccaid.RequestID]*guest
	steps      map[progressTo][]yuccawire.RunProgress
	shifts     *yuccashift.Planner
	leaving    map[yuccaid.Target]bool
	chain      *yuccastate.Chain
	configPull *yuccapeer.ConfigPull
	snapshot   snapshot

	// leadersCount is derived from leadersOf and kept until the state changes.
	leadersOf    *yuccastate.State
	leadersCount int

	// suspensions shows whether the VM was suspended since the last tick.
	suspensions *yuccaclock.Suspensions
}

// Option changes how a daemon is built.
type Option func(*Daemon)

// WithLog sends the daemon's JSON lines to a logger.
func WithLog(target log.Logger) Option {
	return func(d *Daemon) { d.log = logger{target: target} }
}

// New starts a daemon that takes peers' connections on the listener.
func New(settings *yuccaconf.Settings, key yuccaid.Key, peers net.Listener, options ...Option) (*Daemon, error) {
	var nonce [16]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, err
	}
	inc := yuccaid.NewIncarnation(settings.VM, nonce)
	d := &Daemon{
		settings: settings,
		key:      key,
		self:     yuccapeer.Member{VM: settings.VM, Centre: settings.Centre, Address: advertised(settings, peers), Incarnation: inc},
		log:      logger{target: log.NewNopLogger()},
		metrics:  newMetrics(),
		platform: yuccaplat.New(settings.Platform),
		targets:  yuccatarget.New(),
		owner:    yuccaonce.New(inc, key, yuccaonce.WithLifetime(settings.Limits.RequestLife)),
		runs:     make(map[yuccaid.RequestID]*run),
		kept:     yuccaonce.NewAnswerBuffer[*Answer](settings.Limits.Answers, settings.Limits.AnswerLife),
		leads:    make(map[yuccaid.Pool]*lead),
		guests:   make(map[yuccaid.RequestID]*guest),
		steps:    make(map[progressTo][]yuccawire.RunProgress),
		shifts:   yuccashift.New(),
		leaving:  make(map[yuccaid.Target]bool),
		chain:    yuccastate.NewChain(),

		suspensions: yuccaclock.NewSuspensions(yuccaclock.SinceBoot),
	}
	d.traffic, d.stopTraffic = context.WithCancel(context.Background())
	for _, option := range options {
		option(d)
	}
	d.audit = newAudit(d.log.entry)
	d.state.Store(d.chain.State())
	d.peers = yuccapeer.New(d.self, yuccapeer.WithSeeds(settings.Seeds...))
	d.configPull = yuccapeer.NewConfigPull(pullEvery)
	ready := make(chan struct{})
	d.control = yuccaloop.New(ready, tickEvery, d.tick)
	d.hub = yuccalink.New(d.self, key, peers,
		yuccalink.OnFrame(d.onFrame),
		yuccalink.OnUp(d.onUp),
		yuccalink.OnDown(d.onDown),
		yuccalink.OnTraffic(d.serveTraffic),
		yuccalink.OnFault(d.onFault),
	)
	close(ready)
	// While the platform is away no list comes, and only the seeds lead to the others.
	d.control.Post(func(time.Time) { d.hub.Connect(d.peers.WantedConnections()) })
	d.start(d.watchNotes)
	d.start(d.watchList)
	d.start(d.watchBaseline)
	return d, nil
}

// Self returns the daemon's own identity.
func (d *Daemon) Self() yuccapeer.Member {
	return d.self
}

// Ready reports whether callers may be sent here.
func (d *Daemon) Ready() bool {
	return d.ready.Load() && d.settled.Load() && !d.draining.Load()
}

// BodyLimit is the longest request body that callers may send.
func (d *Daemon) BodyLimit() yuccaid.Bytes {
	return d.settings.Limits.Body
}

// Close ends everything at once; Drain comes first where answers are to be finished.
func (d *Daemon) Close() {
	d.stopTraffic()
	d.control.Close()
	d.hub.Close()
	d.workers.Wait()
}

func (d *Daemon) start(work func(context.Context)) {
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		work(d.traffic)
	}()
}

// refuses says why nothing new is taken now, if so.
func (d *Daemon) refuses() *Problem {
	if d.draining.Load() {
		return &Problem{Kind: KindLeaving, Run: yuccaonce.NotRun}
	}
	if !d.Ready() {
		return &Problem{Kind: KindNotReady, Run: yuccaonce.NotRun, Back: time.Second}
	}
	return nil
}

func (d *Daemon) send(to yuccaid.Incarnation, kind yuccawire.Kind, body any) error {
	return d.hub.Send(to, kind, body)
}

func advertised(settings *yuccaconf.Settings, listener net.Listener) string {
	if settings.Advertise != "" {
		return settings.Advertise
	}
	return listener.Addr().String()
}

// tick runs on the control goroutine every tickEvery, and first after a pause.
func (d *Daemon) tick(now time.Time) {
	d.onChange(now, d.peers.Tick(now))
	monotonic, boot := d.suspensions.Check(now)
	d.onChange(now, d.peers.CheckClocks(now, monotonic, boot))
	d.settle(now)
	d.tickLeader(now)
	d.tickOwner(now)
	d.flushProgress()
}

// settle takes up leadership once this daemon has listened long enough to name
// leaders, which no single event marks.
func (d *Daemon) settle(now time.Time) {
	if settled := d.peers.Settled(); settled != d.settled.Load() {
		d.settled.Store(settled)
		d.refreshLeads(now)
		d.tellLeaders(now)
	}
}

func (d *Daemon) onFault(address string, err error) {
	d.log.problem("connection with "+address, err)
}
