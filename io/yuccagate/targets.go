package yuccagate

import (
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccastream"
	"yuccacleat/io/yuccawire"
)

const (
	// regionRoundTrip is the assumed round-trip time to another region. It only orders targets
	// of equal pace, because the measured times of runs include the real round-trip time.
	regionRoundTrip = 60 * time.Millisecond
	// platformReportInterval is the time between two reports of the reader, the daemon that reads
	// the platform for its data centre, to the other daemons there. A report states when the
	// platform last responded.
	platformReportInterval = 300 * time.Millisecond
	// readerRole stands for the name of a pool when the data centre chooses its reader, because the
	// reader is chosen in the same way as the leader of a pool. The role can't collide with a pool,
	// since names of pools have no spaces.
	readerRole = yuccaid.Pool("reader of the platform")
	// maxPlatformReports is the number of reports from which those that are no longer fresh are
	// deleted.
	maxPlatformReports = 64
	// anyPeerPullInterval is the shortest time between two requests to a peer for targets while the
	// platform can't be read.
	anyPeerPullInterval = 400 * time.Millisecond
	// startupReadTime is how long after its start a daemon doesn't request targets from an arbitrary
	// peer, because it reads the platform itself or learns of the reader.
	startupReadTime = 700 * time.Millisecond
)

// platformReport is the report of a daemon that reads the platform, itself in any data centre: age is
// how long before the report the platform last responded to the daemon.
type platformReport struct {
	reader     yuccaroster.Reader
	age        time.Duration
	receivedAt time.Time
}

// fresh reports whether the platform has responded to the daemon within yuccaroster.StaleAfter.
func (report platformReport) fresh(now time.Time) bool {
	return now.Sub(report.receivedAt)+report.age < yuccaroster.StaleAfter
}

// OfferTargets takes registrations of targets, and removals of registrations, that this daemon has
// read from the platform. The parameter at is the platform's revision up to which they were read.
// If whole is set, entries are all registered targets. If sure is not set, removals are tentative.
//
// A daemon that reads the platform forwards changes to all other daemons, which then need not read
// the platform. Whole lists are not forwarded, because a hundred daemons that start together would
// each send a thousand targets to all others. A daemon that lacks targets requests them once this
// daemon reports a higher revision.
func (gate *Gate) OfferTargets(entries []yuccaroster.Entry, removals []yuccaroster.Removal, whole bool, at yuccaroster.Revision, sure bool) {
	message := yuccawire.TargetsUpdate{Targets: yuccawire.Targets{Entries: entries, Removals: removals, Whole: whole, At: at, Sure: sure}}
	gate.control.Post(func(now time.Time) {
		if !whole {
			message.After = gate.changeRevision
		}
		gate.changeRevision = max(gate.changeRevision, at)
		gate.recordRead(now, at)
		gate.onTargets(now, message)
		if !whole && gate.settled && !gate.skipsPlatformReads.Load() {
			gate.sendLocal(yuccawire.KindTargets, message)
			gate.castRemote(yuccawire.Cast{Topic: yuccawire.TopicTargets, Targets: &message.Targets, Fresh: &yuccawire.Fresh{At: message.After}})
		}
	})
}

// RecordPlatformRevision records that the platform has responded, and the revision up to which the
// platform has been read.
func (gate *Gate) RecordPlatformRevision(at yuccaroster.Revision) {
	gate.control.Post(func(now time.Time) { gate.recordRead(now, at) })
}

func (gate *Gate) recordRead(now time.Time, at yuccaroster.Revision) {
	gate.platformRespondedAt = now
	gate.recordAnswer(now)
	gate.readRevision = max(gate.readRevision, at)
	gate.platformRevision = max(gate.platformRevision, at)
}

// PlatformAnsweredAt returns when the platform last answered this daemon or another one that has reported it, zero if it
// never did.
func (gate *Gate) PlatformAnsweredAt() time.Time {
	if at := gate.platformAnsweredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (gate *Gate) recordAnswer(at time.Time) {
	if at.After(gate.PlatformAnsweredAt()) {
		gate.platformAnsweredAt.Store(&at)
	}
}

// platformAge returns how long ago the platform last responded to this daemon or to a peer that
// reported it, or -1 if it never did.
func (gate *Gate) platformAge(now time.Time) time.Duration {
	age := time.Duration(-1)
	if !gate.platformRespondedAt.IsZero() {
		age = now.Sub(gate.platformRespondedAt)
	}
	for _, report := range gate.platformReports {
		if reportedAge := now.Sub(report.receivedAt) + report.age; age < 0 || reportedAge < age {
			age = reportedAge
		}
	}
	return age
}

// MaySkipPlatformReads reports whether this daemon need not read the platform because another
// daemon reads the platform and sends the changes to this daemon.
func (gate *Gate) MaySkipPlatformReads() bool { return gate.skipsPlatformReads.Load() }

// tickReader decides whether this daemon reads the platform. If it does, it reports to the data
// centre's other daemons when the platform last responded.
//
// Calls to the platform count against a rate limit of the whole fleet, and each is paid for, so one
// daemon, the reader, reads for all data centres. If the reader's process ends or hangs, or the reader
// loses its connection to the platform, its last report grows old. The same happens in a data centre
// that is cut off from the reader's. Then the daemons that are next in the order in which readers are
// chosen read the platform as well, and the more of them the older the last report is (see
// yuccaroster.Readers). If all daemons did so at once, an outage of the platform would cause hundreds
// of failing calls a second.
func (gate *Gate) tickReader(now time.Time) {
	reads := gate.readsPlatform(now)
	if reads && gate.settled && gate.platformFresh(now) && now.Sub(gate.platformReportedAt) >= platformReportInterval {
		gate.platformReportedAt = now
		report := yuccawire.Fresh{AgeMillis: now.Sub(gate.platformRespondedAt).Milliseconds(), At: gate.readRevision}
		gate.sendLocal(yuccawire.KindFresh, report)
		gate.castRemote(yuccawire.Cast{Topic: yuccawire.TopicFresh, VM: gate.settings.VM, Fresh: &report})
	}
	gate.pullFromAnyPeer(now)
	if reads == gate.skipsPlatformReads.Load() {
		gate.skipsPlatformReads.Store(!reads)
		gate.log.stateChange("reading the platform", "rests", !reads, "ageMillis", gate.platformAge(now).Milliseconds())
	}
}

// readsPlatform reports whether this daemon reads the platform. A daemon that restarts reads it
// once, and then waits until it has settled and the reader is known. When the whole fleet starts for
// the first time there are no callers yet, so the daemons wait for the reader at once.
func (gate *Gate) readsPlatform(now time.Time) bool {
	rank, settled := gate.peers.LeaderRank(readerRole)
	respondedOnce := !gate.platformRespondedAt.IsZero()
	switch {
	case !settled:
		return !gate.settings.FirstStart && !respondedOnce
	case gate.hasPreferredReader(now):
		return false
	case rank == 0:
		return true
	case gate.platformFresh(now) && !gate.skipsPlatformReads.Load():
		return true
	}
	age := gate.platformAge(now)
	if age < 0 {
		age = now.Sub(gate.startedAt)
	}
	return rank < yuccaroster.Readers(age)
}

// platformFresh reports whether the platform has responded to this daemon within yuccaroster.StaleAfter.
func (gate *Gate) platformFresh(now time.Time) bool {
	return !gate.platformRespondedAt.IsZero() && now.Sub(gate.platformRespondedAt) < yuccaroster.StaleAfter
}

// hasPreferredReader reports whether a daemon that is preferred to this one as the reader has read
// the platform within yuccaroster.StaleAfter.
func (gate *Gate) hasPreferredReader(now time.Time) bool {
	self := yuccaroster.Reader{Centre: gate.settings.Centre, VM: gate.settings.VM}
	for _, report := range gate.platformReports {
		if report.fresh(now) && report.reader.Precedes(self) {
			return true
		}
	}
	return false
}

// hasFreshReport reports whether another daemon has read the platform within yuccaroster.StaleAfter.
func (gate *Gate) hasFreshReport(now time.Time) bool {
	for _, report := range gate.platformReports {
		if report.fresh(now) {
			return true
		}
	}
	return false
}

// onFresh handles the report of a reader of this data centre.
func (gate *Gate) onFresh(now time.Time, from yuccaid.Incarnation, message yuccawire.Fresh) {
	gate.recordReport(now, from, yuccaroster.Reader{Centre: gate.settings.Centre, VM: from.VM}, message)
}

// onRemoteFresh handles the report of a reader of another data centre, which a peer has forwarded.
func (gate *Gate) onRemoteFresh(now time.Time, from yuccaid.Incarnation, message yuccawire.Cast) {
	if message.Fresh != nil {
		gate.recordReport(now, from, yuccaroster.Reader{Centre: message.Centre, VM: message.VM}, *message.Fresh)
	}
}

// recordReport records a reader's report, and requests the targets from the peer that has sent or
// forwarded the report if the reader has read up to a higher revision.
func (gate *Gate) recordReport(now time.Time, from yuccaid.Incarnation, reader yuccaroster.Reader, message yuccawire.Fresh) {
	if len(gate.platformReports) >= maxPlatformReports {
		maps.DeleteFunc(gate.platformReports, func(_ yuccaroster.Reader, report platformReport) bool { return !report.fresh(now) })
	}
	report := platformReport{reader: reader, age: time.Duration(message.AgeMillis) * time.Millisecond, receivedAt: now}
	gate.platformReports[reader] = report
	gate.recordAnswer(now.Add(-report.age))
	if message.At > gate.platformRevision && now.Sub(gate.targetsPulledAt) > pullInterval {
		gate.pullTargets(now, from)
	}
}

// pullTargets requests the targets from a peer. The peer sends them only if it has read up to a
// higher revision.
func (gate *Gate) pullTargets(now time.Time, from yuccaid.Incarnation) {
	gate.targetsPulledAt = now
	gate.send(from, yuccawire.KindTargetsPull, yuccawire.TargetsPull{Have: gate.platformRevision})
}

// pullFromAnyPeer requests the targets from a random peer while no daemon of this data centre
// reaches the platform.
//
// A data centre may lose its connection to the platform but not to other data centres. If its
// daemons didn't request targets from peers, they would send callers' requests to targets that have
// been removed, and restarted daemons would have no targets.
func (gate *Gate) pullFromAnyPeer(now time.Time) {
	platformSilent := gate.platformRespondedAt.IsZero() || now.Sub(gate.platformRespondedAt) > yuccaroster.StaleAfter
	if !platformSilent || gate.hasFreshReport(now) ||
		now.Sub(gate.startedAt) < startupReadTime || now.Sub(gate.targetsPulledAt) < anyPeerPullInterval {
		return
	}
	if linked := gate.hub.Linked(); len(linked) > 0 {
		gate.pullTargets(now, linked[mathrand.IntN(len(linked))].Incarnation)
	}
}

// onTargetsPull sends the targets to a peer that has read up to a lower revision, if they aren't under
// way to the peer.
//
// It sends them as a whole list, also if it doesn't read the platform itself: it knows all of them up to its revision. Otherwise the peer
// would keep a target whose removal this daemon doesn't know, because it has never known the target, or because it has forgotten
// the removal.
//
// The list has a target whose removal is tentative, and the pending removal too. Without it, the peer, whose
// revision then is past that of the removal, would never learn that the target has ended.
func (gate *Gate) onTargetsPull(now time.Time, from yuccaid.Incarnation, pull yuccawire.TargetsPull) {
	message := yuccawire.TargetsUpdate{Targets: yuccawire.Targets{
		Entries: gate.roster.Entries(), Removals: gate.roster.Removals(), Whole: true, At: gate.platformRevision, Sure: true,
	}, Pending: gate.roster.PendingRemovals(now)}
	if message.At <= pull.Have || gate.listsSent.underWay(now, from, uint64(pull.Have)) {
		return
	}
	if gate.send(from, yuccawire.KindTargets, message) {
		gate.listsSent[from] = sentAnswer{number: uint64(message.At), at: now}
	}
}

// onTargets applies registrations and removals of targets that this daemon or a peer has read from
// the platform. If the message holds changes and earlier ones are missing, the revision up to which
// this daemon knows the targets stays as it was, so that the reader's next report makes it request them.
func (gate *Gate) onTargets(now time.Time, message yuccawire.TargetsUpdate) {
	before := gate.platformRevision
	gate.platformRevision = before.Extend(message.After, message.At)
	if gate.platformRevision < message.At {
		gate.log.stateChange("changes of targets missing", "known", before, "after", message.After, "at", message.At)
	}
	if message.Whole {
		gate.roster.ReplaceAll(now, message.Entries, message.At, message.Sure)
	}
	for _, entry := range gate.roster.Update(now, message.Entries, message.Removals, message.Sure) {
		if !entry.IsEvacuation() {
			gate.origins.history.Seen(now, yuccastream.Origin{Pool: entry.Pool, Version: entry.StreamVersion()})
		}
	}
	for _, pending := range message.Pending {
		gate.roster.RemovePending(now, pending)
	}
	gate.refreshTargets(now)
}

// onRemoteTargets applies changes of targets that a reader of another data centre has cast.
func (gate *Gate) onRemoteTargets(now time.Time, message yuccawire.Cast) {
	if message.Targets == nil {
		return
	}
	update := yuccawire.TargetsUpdate{Targets: *message.Targets}
	if message.Fresh != nil {
		update.After = message.Fresh.At
	}
	gate.onTargets(now, update)
}

// refreshTargets passes changes of the targets to the schedulers.
func (gate *Gate) refreshTargets(now time.Time) {
	if gate.roster.Version() == gate.rosterVersion {
		return
	}
	gate.rosterVersion = gate.roster.Version()
	gate.trackVersions(now)
	gate.logTargetChanges()
	gate.noteEvacuations(now)
	gate.findCrashedTargets(now)
	for _, sched := range gate.schedulers {
		gate.configure(now, sched)
	}
	gate.reconsiderTargets(now)
}

// maxLoggedTargets bounds how many targets one log line names, because a whole fleet may
// register at once.
const maxLoggedTargets = 20

// logTargetChanges logs which targets were added, restarted, started to leave or were removed
// since the last call.
func (gate *Gate) logTargetChanges() {
	var added, restarted, leaving, removed []yuccaid.Target
	current := make(map[yuccaid.Target]yuccaroster.Entry, len(gate.loggedTargets))
	for _, entry := range gate.roster.Targets() {
		current[entry.Target] = entry
		before, known := gate.loggedTargets[entry.Target]
		switch {
		case !known:
			added = append(added, entry.Target)
		case before.StartMillis != entry.StartMillis:
			restarted = append(restarted, entry.Target)
		}
		if entry.Leaving && !before.Leaving {
			leaving = append(leaving, entry.Target)
		}
	}
	for name := range gate.loggedTargets {
		if _, known := current[name]; !known {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	gate.loggedTargets = current
	if len(added)+len(restarted)+len(leaving)+len(removed) == 0 {
		return
	}
	fields := []any{"known", len(current), "revision", gate.platformRevision, "versions", countVersions(current)}
	for _, group := range []struct {
		key   string
		names []yuccaid.Target
	}{{"came", added}, {"begunAnew", restarted}, {"leaving", leaving}, {"gone", removed}} {
		if len(group.names) > 0 {
			fields = append(fields, group.key, group.names[:min(len(group.names), maxLoggedTargets)])
		}
	}
	gate.log.stateChange("targets", fields...)
}

// countVersions returns how many targets of each pool are of each version, as a text for the log.
func countVersions(targets map[yuccaid.Target]yuccaroster.Entry) string {
	counts := make(map[string]int)
	for _, entry := range targets {
		counts[string(entry.Pool)+" "+string(entry.Version)]++
	}
	var list []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, name+": "+strconv.Itoa(counts[name]))
	}
	return strings.Join(list[:min(len(list), maxLoggedTargets)], ", ")
}

// targetsOf returns a pool's targets.
func (gate *Gate) targetsOf(sched *scheduler) []yuccagrant.Target {
	usable := gate.roster.Usable(sched.pool)
	list := make([]yuccagrant.Target, 0, len(usable))
	engine, budgets := gate.engineOf(sched.pool), gate.budgetsOf(sched)
	for _, entry := range usable {
		list = append(list, gate.targetOf(entry, engine, &budgets))
	}
	return list
}

// targetOf returns what a pool's leader has to know of a registered target. Targets in other regions than this daemon
// are marked as remote.
func (gate *Gate) targetOf(entry yuccaroster.Entry, engine yuccaroute.Engine, budgets *budgets) yuccagrant.Target {
	target := yuccagrant.Target{
		Name: entry.Target, Centre: entry.Centre, Region: gate.region(entry.Centre),
		OtherCentre: entry.Centre != gate.settings.Centre,
		Slots:       max(entry.Slots, 1), CacheTokens: engine.CacheTokens, FetchRate: engine.FetchRate,
		Ramped:      engine != (yuccaroute.Engine{}),
		StartMillis: entry.StartMillis, Version: entry.StreamVersion(),
		Cold: coldStatement(entry), Budget: budgets.of(entry),
	}
	if target.Region != gate.region(gate.settings.Centre) {
		target.Remote = true
		target.RoundTrip = regionRoundTrip
	}
	return target
}

// engineOf returns the configured properties of a pool's engines, or zero values if the pool runs no
// model.
func (gate *Gate) engineOf(pool yuccaid.Pool) yuccaroute.Engine {
	table := gate.tables.Load()
	if table == nil {
		return yuccaroute.Engine{}
	}
	if configured, found := table.Pool(pool); found && configured.Engine != nil {
		return *configured.Engine
	}
	return yuccaroute.Engine{}
}

// deciderCount returns how many daemons share the pool's slots when this daemon decides. If this
// daemon leads the pool, it is the only one. If it decides without the leader, it assumes that the
// other daemons of its data centre do so too, and each daemon uses an equal share of the slots.
func (gate *Gate) deciderCount(sched *scheduler) int {
	if sched.leads {
		return 1
	}
	return max(len(gate.peers.Live(gate.settings.Centre)), 1)
}
