package yuccagate

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastream"
	"yuccacleat/io/yuccawire"
)

const (
	// lookupTimeout bounds the wait for what other daemons of this data centre know of a stream's origin.
	// remoteLookupTimeout applies if there are none, so that daemons of other data centres are asked.
	lookupTimeout       = 100 * time.Millisecond
	remoteLookupTimeout = 300 * time.Millisecond
)

// The ways in which the origin of a stream that a caller takes up is found out, for logs and metrics.
const (
	originRemembered = "remembered"
	originTold       = "told"
	originSole       = "sole version"
	originKept       = "kept by targets"
	originUncertain  = "uncertain"
	originUnknown    = "unknown"
	originMoved      = "another pool"
)

// originLookup is a lookup of where a stream began.
type originLookup struct {
	// number identifies the lookup in this daemon's queries.
	number uint64
	key    yuccastream.Key
	pool   yuccaid.Pool
	// routeName and route are the route of the stream. onlyPool reports whether, as far as this daemon knows, the stream can't have
	// begun in another pool than the route's.
	routeName string
	route     yuccastream.Route
	onlyPool  bool
	// ownPart is the last part of the stream's prompt, zero if it isn't known. surveyed reports whether the targets are asked
	// what they keep of it, and holdings is what they have answered.
	ownPart  KeptPart
	surveyed bool
	holdings []yuccastream.Holding
	// awaiting counts the answers that are missing, and views is what other daemons know of the pool's versions. The
	// lookup ends at the time until, or goes on with the targets.
	awaiting int
	views    []yuccastream.View
	until    time.Time
	result   chan originResult
	// doubted reports whether what daemons remember doesn't suffice, and remembered is what they do: the targets have to agree.
	doubted    bool
	remembered []yuccastream.Origin
	// answered reports whether daemons were asked and all of them have answered. Otherwise this daemon may be out of step with
	// them. Checked reports whether the platform has been read since, and confirmed whether this daemon knows all changes since then.
	answered, checked, confirmed bool
}

// originResult is the result of a lookup; the version is empty if the stream can't go on.
type originResult struct {
	origin yuccastream.Origin
	source string
}

// startLookup looks an origin up in this daemon's memory, and asks other daemons if it isn't there.
func (gate *Gate) startLookup(now time.Time, lookup *originLookup) {
	if origin, found := gate.origins.memory.Find(now, lookup.key); found {
		if !lookup.doubted {
			lookup.deliver(origin, originRemembered)
			return
		}
		lookup.remembered = append(lookup.remembered, origin)
	}
	holders := gate.originHolders(now, lookup.key)
	lookup.until = now.Add(remoteLookupTimeout)
	if len(gate.peers.Live(gate.settings.Centre)) > 1 {
		lookup.until = now.Add(lookupTimeout)
		holders = gate.inThisCentre(holders)
	}
	gate.origins.lastLookup++
	lookup.number = gate.origins.lastLookup
	query := yuccawire.OriginQuery{
		Number: lookup.number, Key: lookup.key, Pool: lookup.pool, RouteName: lookup.routeName, Route: lookup.route,
	}
	for _, holder := range holders {
		if gate.send(holder, yuccawire.KindOriginQuery, query) {
			lookup.awaiting++
		}
	}
	if lookup.awaiting == 0 {
		gate.checkPlatform(now, lookup)
		return
	}
	gate.origins.lookups[lookup.number] = lookup
}

// inThisCentre returns those of the daemons that are in this data centre.
func (gate *Gate) inThisCentre(list []yuccaid.Incarnation) []yuccaid.Incarnation {
	var here []yuccaid.Incarnation
	for _, each := range list {
		if member, found := gate.peers.Find(each.VM); found && member.Centre == gate.settings.Centre {
			here = append(here, each)
		}
	}
	return here
}

// onOriginQuery answers another daemon's lookup.
func (gate *Gate) onOriginQuery(now time.Time, from yuccaid.Incarnation, query yuccawire.OriginQuery) {
	origin, found := gate.origins.memory.Find(now, query.Key)
	view := gate.streamView(now, query.Pool, query.RouteName, query.Route)
	gate.send(from, yuccawire.KindOriginAnswer, yuccawire.OriginAnswer{
		Number: query.Number, Found: found, Pool: origin.Pool, Version: origin.Version,
		Sole: view.Version, Several: view.Several, Complete: view.Complete, Fresh: view.Fresh, Kept: view.Kept, Moved: view.Moved,
	})
}

// onOriginAnswer handles an answer to one of this daemon's lookups. The first daemon that remembers the
// stream ends the lookup, also while targets are asked, and so does the last answer.
func (gate *Gate) onOriginAnswer(now time.Time, answer yuccawire.OriginAnswer) {
	lookup := gate.origins.lookups[answer.Number]
	switch {
	case lookup == nil:
		return
	case answer.Found && lookup.doubted:
		lookup.remembered = append(lookup.remembered, yuccastream.Origin{Pool: answer.Pool, Version: answer.Version})
	case answer.Found:
		delete(gate.origins.lookups, answer.Number)
		lookup.deliver(yuccastream.Origin{Pool: answer.Pool, Version: answer.Version}, originTold)
		return
	}
	if lookup.surveyed {
		return
	}
	lookup.awaiting--
	lookup.views = append(lookup.views, yuccastream.View{
		Version: answer.Sole, Several: answer.Several, Complete: answer.Complete, Fresh: answer.Fresh,
		Kept: answer.Kept, Moved: answer.Moved,
	})
	lookup.onlyPool = lookup.onlyPool && !answer.Moved
	if lookup.awaiting == 0 {
		lookup.answered = true
		delete(gate.origins.lookups, answer.Number)
		gate.conclude(now, lookup)
	}
}

// deliver ends a lookup with a remembered origin.
func (lookup *originLookup) deliver(origin yuccastream.Origin, source string) {
	if origin.Version == "" {
		source = originUncertain
	}
	lookup.result <- originResult{origin: origin, source: source}
}

// conclude ends a lookup of a stream that nobody remembers. The stream can only go on if its pool has had
// one version, or if what targets keep of its prompt tells the version that began it. A version that has come while this daemon was cut off
// or stood still may have begun the stream, too, so this daemon has to be in step with others or to know the platform's changes up to now.
func (gate *Gate) conclude(now time.Time, lookup *originLookup) {
	own := gate.streamView(now, lookup.pool, lookup.routeName, lookup.route)
	own.Fresh = own.Fresh || lookup.confirmed
	views := append(lookup.views, own)
	version, agreed := yuccastream.Agree(views)
	switch {
	case !lookup.answered && !lookup.checked:
		gate.checkPlatform(now, lookup)
	case (lookup.answered || lookup.confirmed) && agreed && lookup.onlyPool && yuccastream.AgreeOnRoute(views):
		lookup.deliver(yuccastream.Origin{Pool: lookup.pool, Version: version}, originSole)
	case lookup.surveyed:
		lookup.concludeSurvey()
	case lookup.ownPart.Tokens > 0 && gate.dialect.HoldingsPath != "":
		gate.queryHoldings(now, lookup)
	default:
		lookup.result <- originResult{source: originUnknown}
	}
}

// concludeSurvey ends a lookup with what targets keep. If some of them may not have been asked, another version may keep the
// part as well.
func (lookup *originLookup) concludeSurvey() {
	holdings := lookup.holdings
	if lookup.onlyPool {
		holdings = yuccastream.InPool(holdings, lookup.pool)
	}
	origin, found := yuccastream.OriginOf(holdings, lookup.ownPart.Tokens)
	disagrees := func(remembered yuccastream.Origin) bool { return remembered != origin }
	if !found || lookup.awaiting > 0 || slices.ContainsFunc(lookup.remembered, disagrees) {
		lookup.result <- originResult{source: originUnknown}
		return
	}
	lookup.deliver(origin, originKept)
}
