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
	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccaspace"
	"yuccacleat/io/yuccaclock"
	"yuccacleat/io/yuccahop"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccaloop"
)

// tickInterval is the time between two checks of waiting requests, peers and targets.
const tickInterval = 20 * time.Millisecond

// Gate is one running gateway.
type Gate struct {
	settings Settings
	dialect  Dialect
	decode   Decoder
	// incarnation identifies this run of the daemon.
	incarnation yuccaid.Incarnation
	log         logger
	metrics     *metrics
	// targetClient sends requests to targets.
	targetClient *yuccahop.Client
	// memory is the memory that open requests may use, and pressure shows whether processor time is short.
	memory   *memory
	pressure pressure
	// heads bounds the heads of requests that are being read.
	heads *headBounds
	// memoryShortage shows whether many requests find no memory.
	memoryShortage memoryShortage
	// processBounds are the bounds that follow from the process's limits on memory and file
	// descriptors.
	processBounds yuccaspace.Bounds
	// control runs the control goroutine, and tables holds the configuration in force.
	control *yuccaloop.Loop
	tables  yuccaroute.Holder
	// startedAt is when the gateway started. configured is closed once a configuration is in
	// force.
	startedAt  time.Time
	configured chan struct{}
	// drainStartedAt is when the daemon began to drain, or nil.
	drainStartedAt atomic.Pointer[time.Time]
	openRequests   atomic.Int64
	// leaving ends near the end of the drain (see leavingTime).
	leaving context.Context
	leave   context.CancelFunc
	// lastPlacement is the number of the latest placement. A placement is one request's wait for
	// a target and its run on that target.
	lastPlacement atomic.Uint64
	// callerRejectedAt is when a caller's connection was last rejected, or nil.
	callerRejectedAt atomic.Pointer[time.Time]

	// traffic ends when the gateway is closed.
	traffic     context.Context
	stopTraffic context.CancelFunc
	workers     sync.WaitGroup

	// hub holds the connections to other daemons.
	hub *yuccalink.Hub
	// skipsPlatformReads reports whether this daemon doesn't read the platform's registrations of
	// targets, because another daemon of the data centre reads them for it.
	skipsPlatformReads atomic.Bool
	// platformAnsweredAt is when the platform last answered this daemon or one whose report has come, nil if it never did.
	platformAnsweredAt atomic.Pointer[time.Time]

	// The fields below belong to the control goroutine.
	peers *yuccapeer.Peers
	// settled reports whether this daemon has listened to its peers for long enough to choose
	// leaders.
	settled bool
	// suspensions shows whether the VM was suspended since the last tick.
	suspensions *yuccaclock.Suspensions
	// connsComparedAt is when the existing connections to other daemons were last compared with
	// the connections that should exist.
	connsComparedAt time.Time
	// castSequence is the sequence number of this daemon's latest cast. castWindows records, for
	// each series of casts, which casts have arrived.
	castSequence  uint64
	castWindows   map[castKey]sequenceWindow
	remoteCentres map[yuccaid.Centre]*remoteCentre
	// peerRefusedAt holds, for each address of a daemon, when that address last refused a
	// connection. connFailureLoggedAt holds when a failed connection to the address was last
	// logged.
	peerRefusedAt       map[string]time.Time
	connFailureLoggedAt map[string]time.Time
	// tableRaw is the text of the configuration in force, for peers that request it. tablePacked is
	// its compressed form, or nil if no peer has requested that yet.
	tableRaw    []byte
	tablePacked []byte
	// tablesSent and listsSent hold what configurations and lists of targets were sent to connected
	// peers.
	tablesSent, listsSent sentAnswers
	// tablePull decides from which peer this daemon requests a newer configuration.
	tablePull *yuccapeer.ConfigPull

	// roster holds the registered targets.
	roster *yuccaroster.Roster
	// loggedTargets are the targets as the log last reported them.
	loggedTargets map[yuccaid.Target]yuccaroster.Entry
	// exclusions caches the log texts on excluded targets since the roster last changed.
	exclusions excludedTexts
	// evacuations are the data centres whose leaders come first in budgets of targets that may be cold.
	evacuations yuccacold.Evacuations
	// loggedEvacuated are the evacuated data centres as the log last reported them.
	loggedEvacuated map[yuccaid.Centre]bool
	// rosterVersion is the version of the roster that was last passed to the schedulers.
	// targetsPulledAt is when this daemon last requested targets from a peer.
	rosterVersion   uint64
	targetsPulledAt time.Time
	// platformRespondedAt is when the platform last responded to this daemon, and readRevision the
	// revision up to which this daemon itself has read the platform. changeRevision is that of its last
	// read that brought changes: there are none between the two. platformRevision is the revision up
	// to which this daemon knows the platform's registrations of targets.
	// platformReports holds the last report of each daemon that reads the platform, and
	// platformReportedAt is when this daemon last sent such a report.
	platformRespondedAt time.Time
	readRevision        yuccaroster.Revision
	changeRevision      yuccaroster.Revision
	platformRevision    yuccaroster.Revision
	platformReports     map[yuccaroster.Reader]platformReport
	platformReportedAt  time.Time

	// ledger counts the usage of accounts. usageCheckedAt is when this daemon last checked whether a
	// report is due. usageReportedAt is when it last reported usage to the daemon that casts the usage
	// of the data centre, and usageSpreadAt when it last reported it to all daemons there.
	// usageCastAt is when it last cast usage to the other data centres.
	ledger          *yuccaquota.Ledger
	usageCheckedAt  time.Time
	usageReportedAt time.Time
	usageSpreadAt   time.Time
	usageCastAt     time.Time
	// fullUsageDue reports whether another data centre may have missed casts of this data
	// centre's usage, so that all usage has to be cast again. fullUsageAt is when all usage was
	// last cast.
	fullUsageDue bool
	fullUsageAt  time.Time
	// resendBudget bounds how many requests are sent to another target after an attempt has
	// failed.
	resendBudget *yuccabudget.Budget
	// seeds is what this daemon knows of the seeds.
	seeds seeds

	// origins is what this daemon knows of where streams began, and surveys what it has learned of it from targets.
	origins origins
	surveys [surveyShards]*targetSurvey
	// platformCheck reads the platform where that can't wait for the next news, and checks has who waits for it.
	platformCheck PlatformCheck
	checks        platformChecks
	// quarantine is what it knows of traits of requests on which targets crash.
	quarantine *quarantine

	schedulers map[yuccaid.Pool]*scheduler
	// placements holds the waiting and running placements of this daemon's requests. The map's
	// key is the placement's number.
	placements map[uint64]*placement
	// admissions holds the placements whose requests wait for the decision of an account's leader. The
	// map's key is the placement's number. accountLeadersSuspected holds, for each leader that didn't
	// respond in time, the time until which no requests are sent to it.
	admissions              map[uint64]admission
	accountLeadersSuspected map[yuccaid.Incarnation]time.Time
	// idleSweptAt is when idle connections to targets were last closed.
	idleSweptAt time.Time
}

// Decoder parses the text of a configuration.
type Decoder func(raw []byte) (*yuccaroute.Table, error)

// Option configures a gateway.
type Option func(*Gate)

// WithLog sets the logger that the gateway writes to.
func WithLog(inner log.Logger) Option {
	return func(gate *Gate) { gate.log = logger{inner: inner} }
}

// WithBootClock sets the clock that shows how long the VM was suspended, instead of
// yuccaclock.SinceBoot.
func WithBootClock(read yuccaclock.BootClock) Option {
	return func(gate *Gate) { gate.suspensions = yuccaclock.NewSuspensions(read) }
}

// New starts a gateway. It accepts connections from other daemons on the listener peers, and uses
// decode to parse the text of a configuration.
func New(settings Settings, dialect Dialect, decode Decoder, peers net.Listener, options ...Option) (*Gate, error) {
	var nonce [16]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, err
	}
	gate := newGate(settings, dialect, decode, yuccaid.NewIncarnation(settings.VM, nonce))
	for _, option := range options {
		option(gate)
	}
	gate.traffic, gate.stopTraffic = context.WithCancel(context.Background())
	gate.leaving, gate.leave = context.WithCancel(context.Background())
	self := yuccapeer.Member{VM: settings.VM, Centre: settings.Centre, Address: settings.Address, Incarnation: gate.incarnation}
	gate.peers = yuccapeer.New(self, yuccapeer.WithSeeds(settings.Seeds...), yuccapeer.WithTiming(peerTiming()))
	if !settings.FirstStart {
		gate.ledger.MarkWithoutHistory(gate.startedAt)
		gate.resendBudget.MarkCountsLost(gate.startedAt)
	}
	gate.resendBudget.SetFleet(gate.startedAt, gate.resendFleet(gate.startedAt))
	gate.origins = newOrigins(settings.FirstStart, gate.startedAt)
	gate.surveys = newTargetSurveys(gate.startedAt)
	gate.quarantine = newQuarantine(settings)
	gate.skipsPlatformReads.Store(settings.FirstStart)
	ready := make(chan struct{})
	gate.control = yuccaloop.New(ready, tickInterval, gate.tick)
	gate.hub = yuccalink.New(self, settings.Key, peers,
		yuccalink.WithLimits(linkLimits()),
		yuccalink.OnFrame(gate.onFrame),
		yuccalink.OnUp(gate.onUp),
		yuccalink.OnDown(gate.onDown),
		yuccalink.OnFault(gate.onFault),
	)
	close(ready)
	gate.control.Post(func(time.Time) { gate.hub.Connect(gate.peers.WantedConnections()) })
	return gate, nil
}

// newGate returns a gateway that isn't connected to other daemons.
func newGate(settings Settings, dialect Dialect, decode Decoder, incarnation yuccaid.Incarnation) *Gate {
	bounds := yuccaspace.BoundsOf(settings.ProcessLimits)
	gate := &Gate{
		settings:      settings,
		dialect:       dialect,
		decode:        decode,
		incarnation:   incarnation,
		suspensions:   yuccaclock.NewSuspensions(yuccaclock.SinceBoot),
		log:           logger{inner: log.NewNopLogger()},
		metrics:       newMetrics(),
		targetClient:  newTargetClient(bounds),
		memory:        newMemory(bounds.RequestMemory),
		processBounds: bounds,
		startedAt:     time.Now(),

		configured: make(chan struct{}),

		tablePull:     yuccapeer.NewConfigPull(pullInterval),
		tablesSent:    make(sentAnswers),
		listsSent:     make(sentAnswers),
		castWindows:   make(map[castKey]sequenceWindow),
		remoteCentres: make(map[yuccaid.Centre]*remoteCentre),

		peerRefusedAt:       make(map[string]time.Time),
		connFailureLoggedAt: make(map[string]time.Time),
		roster:              yuccaroster.New(),
		platformReports:     make(map[yuccaroster.Reader]platformReport),
		ledger:              yuccaquota.New(settings.Bounds.tolerance(), yuccaquota.WithSalt(mathrand.Uint64())),
		resendBudget:        yuccabudget.New(settings.Bounds.resendBounds()),
		seeds:               newSeeds(),
		schedulers:          make(map[yuccaid.Pool]*scheduler),
		placements:          make(map[uint64]*placement),

		admissions:              make(map[uint64]admission),
		accountLeadersSuspected: make(map[yuccaid.Incarnation]time.Time),
	}
	gate.heads = gate.newHeadBounds()
	return gate
}

func newTargetClient(bounds yuccaspace.Bounds) *yuccahop.Client {
	limits := yuccahop.DefaultLimits()
	limits.IdleTotal = bounds.IdleConnections
	return yuccahop.New(yuccahop.WithLimits(limits))
}

// Ready reports whether the daemon has a configuration, isn't draining and has not rejected a
// caller's connection within rejectedNotReadyFor.
func (gate *Gate) Ready() bool {
	return gate.tables.Load() != nil && !gate.draining() && !gate.rejectedCallerRecently(time.Now())
}

// Close stops the gateway at once and cuts off open requests. To let open requests finish, call
// Server.Drain before Close.
func (gate *Gate) Close() {
	gate.stopTraffic()
	gate.control.Close()
	gate.hub.Close()
	gate.targetClient.Close()
	gate.workers.Wait()
}

// ReadyHandler responds with status 200 if the gateway is ready for callers, and with 503
// otherwise.
func (gate *Gate) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !gate.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// MetricsHandler serves the metrics in the Prometheus text format.
func (gate *Gate) MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		gate.WriteMetrics(w)
	})
}

// Reload applies the seeds and bounds of the given settings. Changes of other settings take effect
// only after a restart. Reload keeps counters and open requests.
func (gate *Gate) Reload(settings Settings) {
	gate.control.Post(func(now time.Time) {
		gate.settings.Seeds, gate.settings.Bounds = settings.Seeds, settings.Bounds
		gate.peers.SetSeeds(settings.Seeds)
		gate.ledger.SetTolerance(now, settings.Bounds.tolerance())
		gate.resendBudget.SetBounds(now, settings.Bounds.resendBounds())
		gate.hub.Connect(gate.peers.WantedConnections())
	})
}

// tick runs on the control goroutine every tickInterval, and before any other work when the
// process resumes after a pause.
func (gate *Gate) tick(now time.Time) {
	gate.pressure.tick(now)
	gate.memoryShortage.tick(now)
	gate.tickPeers(now)
	gate.roster.Tick(now)
	gate.refreshTargets(now)
	gate.tickReader(now)
	gate.tickUsage(now)
	gate.tickAdmissions(now)
	gate.tickSchedulers(now)
	gate.tickOrigins(now)
	gate.tickQuarantine(now)
	if now.Sub(gate.idleSweptAt) > time.Second {
		gate.idleSweptAt = now
		gate.targetClient.Sweep(now)
	}
}
