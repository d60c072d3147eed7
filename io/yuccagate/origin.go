package yuccagate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccastream"
	"yuccacleat/io/yuccawire"
)

const (
	// originCopies is how many daemons of a data centre remember the origin of a stream that began there.
	originCopies = 3
	// smallFleet is the number of daemons up to which all of them remember the origins of all streams. In a
	// small fleet a data centre may lose all its daemons at once.
	smallFleet = 12
	// originInterval is the time between two checks for origins that have to be passed on.
	originInterval = 250 * time.Millisecond
	// originGrace is how long after its request's deadline the origin of a stream is remembered.
	originGrace = 5 * time.Second
	// originNewsAge is the age of the platform's last response from which on an unknown version may have
	// registered.
	originNewsAge = 3 * time.Second
	// registrationLag is how long a restarted target may have served before its new registration arrives,
	// also after an outage of the platform.
	registrationLag = 30 * time.Second
	// partDoubtTime is how long after the loss of a daemon the last parts of prompts don't tell where streams began. It is
	// longer than callers of streams wait.
	partDoubtTime = time.Minute
)

// origins is what this daemon knows of where streams began. It belongs to the control goroutine.
type origins struct {
	memory  yuccastream.Memory
	history *yuccastream.History
	// checkedAt is when the origins that have to be passed on were last looked for.
	checkedAt time.Time
	// lookups holds the lookups that wait for answers, by their numbers.
	lookups    map[uint64]*originLookup
	lastLookup uint64
	// daemonLostAt is when this daemon started, or last lost another one.
	daemonLostAt time.Time
}

func newOrigins(firstStart bool, startedAt time.Time) origins {
	if firstStart {
		// No stream can have begun before the fleet did.
		startedAt = time.Time{}
	}
	return origins{history: yuccastream.NewHistory(startedAt), lookups: make(map[uint64]*originLookup), daemonLostAt: startedAt}
}

// partsTell reports whether what daemons remember of the last parts of prompts tells by itself where a stream began. A daemon that
// was lost may have begun a later one of the same session without having told.
func (org *origins) partsTell(now time.Time) bool {
	return org.daemonLostAt.IsZero() || now.Sub(org.daemonLostAt) > partDoubtTime
}

// streamKey returns the key of the stream that the request begins or takes up. If its caller doesn't tell which request began the stream,
// that is the key of the last part of its prompt.
func (req *callerRequest) streamKey() yuccastream.Key {
	switch {
	case !req.takesUp():
		return yuccastream.NewKey(req.accountName(), req.info.ID)
	case req.info.Resumes == "":
		return req.partKey()
	}
	return yuccastream.NewKey(req.accountName(), req.info.Resumes)
}

func (req *callerRequest) partKey() yuccastream.Key {
	return yuccastream.NewPartKey(req.accountName(), req.info.LastPart)
}

// postBegun has the control goroutine remember where a stream began, or that it goes on there.
func (req *callerRequest) postBegun(att *attempt) {
	gate := req.gate
	gate.control.Post(func(now time.Time) { gate.rememberOrigin(now, req, att.plc.target, att.dec.version) })
}

// rememberOrigin remembers the origin of one of this daemon's streams, and passes it on unless the pool
// has had one version only. If the target's registration has changed since the request was sent, either
// version may have begun the stream.
func (gate *Gate) rememberOrigin(now time.Time, req *callerRequest, target yuccaid.Target, version yuccaid.Version) {
	if entry, found := gate.roster.Find(target); found && entry.StreamVersion() != version {
		version = ""
	}
	rec := yuccastream.Record{
		Key: req.streamKey(), Origin: yuccastream.Origin{Pool: req.pool, Version: version}, For: req.deadline.Sub(now) + originGrace,
	}
	gate.origins.memory.Begin(now, rec, target)
	if !req.takesUp() {
		rec.Key = req.partKey()
		gate.origins.memory.Begin(now, rec, target)
	}
	if !gate.poolView(now, req.pool).Certain() {
		gate.passOrigins(now)
	}
}

// poolView returns what this daemon knows of the versions of a pool.
func (gate *Gate) poolView(now time.Time, pool yuccaid.Pool) yuccastream.View {
	age := gate.platformAge(now)
	return gate.origins.history.View(now, pool, age >= 0 && age < originNewsAge)
}

// streamView returns what this daemon knows of the versions of a pool, and of a route that leads there.
func (gate *Gate) streamView(now time.Time, pool yuccaid.Pool, name string, route yuccastream.Route) yuccastream.View {
	view := gate.poolView(now, pool)
	view.Kept, view.Moved = gate.origins.history.RouteView(now, name, route)
	return view
}

// tickOrigins passes on origins that have become due, and ends lookups that have taken too long. Others go on if they waited
// for targets.
func (gate *Gate) tickOrigins(now time.Time) {
	for number, lookup := range gate.origins.lookups {
		if !now.Before(lookup.until) {
			delete(gate.origins.lookups, number)
			gate.conclude(now, lookup)
		}
	}
	gate.tickSurveys(now)
	if now.Sub(gate.origins.checkedAt) < originInterval {
		return
	}
	gate.origins.checkedAt = now
	gate.origins.memory.Expire(now)
	gate.passOrigins(now)
}

// passOrigins sends the origins of this daemon's streams to the daemons that are to remember them. The
// origins of streams in a pool that has had one version only aren't sent, because every daemon knows the
// version. They are sent as soon as a second version registers, or the platform is silent.
func (gate *Gate) passOrigins(now time.Time) {
	certain := make(map[yuccaid.Pool]bool)
	records := gate.origins.memory.TakeUnsent(now, func(origin yuccastream.Origin) bool {
		if _, known := certain[origin.Pool]; !known {
			certain[origin.Pool] = gate.poolView(now, origin.Pool).Certain()
		}
		return !certain[origin.Pool] || origin.Version == ""
	})
	for _, batch := range batchOrigins(records, func(key yuccastream.Key) []yuccaid.Incarnation { return gate.originHolders(now, key) }) {
		gate.send(batch.holder, yuccawire.KindOrigins, batch.message)
	}
}

// originBatch is a message on origins to one daemon.
type originBatch struct {
	holder  yuccaid.Incarnation
	message yuccawire.Origins
}

// batchOrigins arranges records in one message for each holder, origin and time.
func batchOrigins(records []yuccastream.Record, holders func(yuccastream.Key) []yuccaid.Incarnation) []originBatch {
	type group struct {
		holder  yuccaid.Incarnation
		origin  yuccastream.Origin
		seconds int
	}
	keys := make(map[group][]yuccastream.Key)
	for _, rec := range records {
		for _, holder := range holders(rec.Key) {
			grp := group{holder, rec.Origin, int(rec.For/time.Second) + 1}
			keys[grp] = append(keys[grp], rec.Key)
		}
	}
	var batches []originBatch
	for grp, list := range keys {
		batches = append(batches, originBatch{grp.holder, yuccawire.Origins{Pool: grp.origin.Pool, Version: grp.origin.Version, Keys: list, Seconds: grp.seconds}})
	}
	return batches
}

// originHolders returns the daemons that remember the origin of a stream, except this one. All daemons of
// a data centre choose the same ones there, as far as they know the same daemons.
func (gate *Gate) originHolders(now time.Time, key yuccastream.Key) []yuccaid.Incarnation {
	if gate.inSmallFleet(now) {
		return gate.linkedPeers(func(yuccaid.Centre) bool { return true })
	}
	live := slices.Clone(gate.peers.Live(gate.settings.Centre))
	weights := make(map[yuccaid.VM]uint64, len(live))
	for _, member := range live {
		weights[member.VM] = xxhash.Sum64String(fmt.Sprintf("%s\x00%d", member.VM, key))
	}
	slices.SortFunc(live, func(a, b yuccapeer.Member) int { return cmp.Compare(weights[b.VM], weights[a.VM]) })
	var holders []yuccaid.Incarnation
	for _, member := range live[:min(len(live), originCopies)] {
		if member.Incarnation != gate.incarnation {
			holders = append(holders, member.Incarnation)
		}
	}
	return holders
}

// inSmallFleet reports whether all daemons remember the origins of all streams.
func (gate *Gate) inSmallFleet(now time.Time) bool {
	_, total := gate.countDaemons(now)
	return total <= smallFleet
}

// linkedPeers returns the connected daemons of the data centres that match.
func (gate *Gate) linkedPeers(match func(yuccaid.Centre) bool) []yuccaid.Incarnation {
	var list []yuccaid.Incarnation
	for _, member := range gate.hub.Linked() {
		if match(member.Centre) {
			list = append(list, member.Incarnation)
		}
	}
	return list
}

// onOrigins remembers origins of other daemons' streams. In a small fleet, those that are news are passed
// on from this data centre to the others, and from another one to the daemons of this one, because not
// all daemons of different data centres are connected.
func (gate *Gate) onOrigins(now time.Time, from yuccaid.Incarnation, message yuccawire.Origins) {
	origin := yuccastream.Origin{Pool: message.Pool, Version: message.Version}
	var news []yuccastream.Key
	for _, key := range message.Keys {
		if gate.origins.memory.Put(now, yuccastream.Record{Key: key, Origin: origin, For: time.Duration(message.Seconds) * time.Second}) {
			news = append(news, key)
		}
	}
	if len(news) == 0 || !gate.inSmallFleet(now) {
		return
	}
	message.Keys = news
	sender, found := gate.peers.Find(from.VM)
	sentHere := found && sender.Centre == gate.settings.Centre
	for _, peer := range gate.linkedPeers(func(centre yuccaid.Centre) bool { return (centre == gate.settings.Centre) != sentHere }) {
		gate.send(peer, yuccawire.KindOrigins, message)
	}
}

// trackVersions notes which versions the pools have, and doubts the origins of streams whose target has
// turned out to be of another version, because it restarted under its name.
func (gate *Gate) trackVersions(now time.Time) {
	registered := make(map[yuccastream.Origin]bool)
	for _, entry := range gate.roster.Targets() {
		registered[yuccastream.Origin{Pool: entry.Pool, Version: entry.StreamVersion()}] = true
		before, known := gate.loggedTargets[entry.Target]
		if known && before.StreamVersion() != entry.StreamVersion() {
			gate.origins.memory.Doubt(entry.Target, now.Add(-registrationLag))
		}
	}
	gate.origins.history.SetRegistered(now, registered)
	gate.passOrigins(now)
}

// trackRoutes notes the routes of streams.
func (gate *Gate) trackRoutes(now time.Time, table *yuccaroute.Table) {
	routes := make(map[string]yuccastream.Route)
	for _, route := range table.Config().Routes {
		if route.Kind == yuccaroute.Stream {
			routes[route.Name] = historicRoute(&route)
		}
	}
	gate.origins.history.SetRoutes(now, routes)
}

// historicRoute returns what the history keeps of a route.
func historicRoute(route *yuccaroute.Route) yuccastream.Route {
	return yuccastream.Route{Host: route.Host, Prefix: route.Prefix, Pools: fmt.Sprint(route.Pools)}
}
