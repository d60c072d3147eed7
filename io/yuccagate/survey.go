package yuccagate

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccastream"
	"yuccacleat/io/yuccawire"
)

const (
	// surveyShares is the number of shares into which the targets are divided. Each is asked by a daemon of its own, so
	// that the lists of a large pool don't delay what a slow VM serves.
	surveyShares = 4
	// surveyTimeout bounds the wait for what targets keep. It is short beside the time for which callers wait for the
	// next event.
	surveyTimeout = 700 * time.Millisecond
	// surveyTargetTimeout bounds the time in which a target tells what it keeps and when it started.
	surveyTargetTimeout = 550 * time.Millisecond
	// surveyedAtOnce is how many targets are asked at once: all of a share in most fleets, because each takes three round
	// trips, which are long to other regions. maxHoldingsBytes is the length of a list that is read.
	surveyedAtOnce = 64
	// maxWaitingQueries bounds the queries that wait until a daemon knows any target.
	maxWaitingQueries = 1 << 10
	maxHoldingsBytes  = 256 << 10
)

// errUnreadableHoldings says that what a target told of the parts that it keeps can't be read.
var errUnreadableHoldings = errors.New("the list of kept parts can't be read")

// targetSurvey is a survey of one share of the targets. It belongs to the control goroutine.
type targetSurvey struct {
	*yuccastream.Survey
	// waiting are the queries that wait for the survey's end.
	waiting []holdingQuery
}

// holdingQuery is a query for what targets keep of a part, with the function that gets the answer.
type holdingQuery struct {
	part   yuccastream.PartKey
	answer func(now time.Time, holdings []yuccastream.Holding)
}

func newTargetSurveys(startedAt time.Time) (shares [surveyShares]*targetSurvey) {
	for share := range shares {
		shares[share] = &targetSurvey{Survey: yuccastream.NewSurvey(startedAt)}
	}
	return shares
}

// surveyRole is the role of the daemon of a data centre that asks the targets of a share.
func surveyRole(share int) yuccaid.Pool {
	return yuccaid.Pool("survey of targets\x00" + strconv.Itoa(share))
}

// shareOf returns the share of a target.
func shareOf(target yuccaid.Target) int {
	return int(xxhash.Sum64String(string(target)) % surveyShares)
}

// askHoldings has the lookup go on with what targets keep of the stream's prompt.
func (gate *Gate) askHoldings(now time.Time, lookup *originLookup) {
	lookup.surveyed = true
	lookup.until, lookup.awaiting = now.Add(surveyTimeout), surveyShares
	gate.origins.lookups[lookup.number] = lookup
	for share := range surveyShares {
		query := yuccawire.HoldingQuery{Number: lookup.number, Share: share, Part: lookup.ownPart.Part}
		leader, settled := gate.peers.Leader(surveyRole(share))
		if settled && leader.Incarnation != gate.incarnation && gate.send(leader.Incarnation, yuccawire.KindHoldingQuery, query) {
			continue
		}
		gate.findHoldings(now, share, holdingQuery{query.Part, func(now time.Time, holdings []yuccastream.Holding) {
			gate.addHoldings(now, lookup.number, holdings)
		}})
	}
}

// addHoldings adds what the targets of a share keep to a lookup, and ends the lookup after the last share.
func (gate *Gate) addHoldings(now time.Time, number uint64, holdings []yuccastream.Holding) {
	lookup := gate.origins.lookups[number]
	if lookup == nil {
		return
	}
	lookup.awaiting--
	lookup.holdings = append(lookup.holdings, holdings...)
	if lookup.awaiting == 0 {
		delete(gate.origins.lookups, number)
		gate.conclude(now, lookup)
	}
}

// onHoldingQuery answers another daemon's query.
func (gate *Gate) onHoldingQuery(now time.Time, from yuccaid.Incarnation, query yuccawire.HoldingQuery) {
	if query.Share < 0 || query.Share >= surveyShares {
		return
	}
	gate.findHoldings(now, query.Share, holdingQuery{query.Part, func(_ time.Time, holdings []yuccastream.Holding) {
		answer := yuccawire.HoldingAnswer{Number: query.Number}
		for _, one := range holdings {
			answer.Holdings = append(answer.Holdings, yuccawire.PartHolding{Pool: one.Origin.Pool, Version: one.Origin.Version, Tokens: one.Tokens})
		}
		gate.send(from, yuccawire.KindHoldingAnswer, answer)
	}})
}

// onHoldingAnswer handles an answer to one of this daemon's queries.
func (gate *Gate) onHoldingAnswer(now time.Time, answer yuccawire.HoldingAnswer) {
	var holdings []yuccastream.Holding
	for _, one := range answer.Holdings {
		holdings = append(holdings, yuccastream.Holding{Origin: yuccastream.Origin{Pool: one.Pool, Version: one.Version}, Tokens: one.Tokens})
	}
	gate.addHoldings(now, answer.Number, holdings)
}

// findHoldings answers a query from the share's last survey, or has the targets asked again if they kept nothing of the part
// then.
func (gate *Gate) findHoldings(now time.Time, share int, query holdingQuery) {
	survey := gate.surveys[share]
	if !gate.knowsTargets() && len(survey.waiting) < maxWaitingQueries {
		survey.waiting = append(survey.waiting, query)
		return
	}
	if survey.Tells(query.part) {
		query.answer(now, survey.Find(query.part))
		return
	}
	if survey.Start(now) {
		gate.surveyTargets(now, share)
	}
	if survey.Known() && !survey.Running() || len(survey.waiting) >= maxWaitingQueries {
		query.answer(now, survey.Find(query.part))
		return
	}
	survey.waiting = append(survey.waiting, query)
}

// forgetHoldings forgets what targets kept before another daemon was lost.
func (gate *Gate) forgetHoldings(now time.Time) {
	for _, survey := range gate.surveys {
		survey.LoseDaemon(now)
	}
}

// knowsTargets reports whether this daemon has learned of all targets since it started, and which pools run models. Callers that
// take streams up come as soon as a daemon accepts connections, and changes of single targets may arrive before the list.
func (gate *Gate) knowsTargets() bool { return gate.platformRevision > 0 && gate.tables.Load() != nil }

// tickSurveys forgets old surveys, and goes on with the queries that came before any target was known.
func (gate *Gate) tickSurveys(now time.Time) {
	for share, survey := range gate.surveys {
		survey.Expire(now)
		if survey.Running() || len(survey.waiting) == 0 || !gate.knowsTargets() {
			continue
		}
		waiting := survey.waiting
		survey.waiting = nil
		for _, query := range waiting {
			gate.findHoldings(now, share, query)
		}
	}
}

// surveyTargets asks the targets of a share which parts of prompts they keep, and then answers the queries that wait.
func (gate *Gate) surveyTargets(startedAt time.Time, share int) {
	entries, silent := gate.entriesToSurvey(share)
	gate.workers.Go(func() {
		found := gate.askAllHoldings(entries)
		maps.Copy(found.Silent, silent)
		gate.control.Post(func(now time.Time) {
			survey := gate.surveys[share]
			survey.End(found)
			gate.log.stateChange("targets asked what they keep", "share", share, "asked", len(entries), "silent", len(found.Silent), "parts", len(found.Held),
				"millis", now.Sub(startedAt).Milliseconds())
			waiting := survey.waiting
			survey.waiting = nil
			for _, query := range waiting {
				query.answer(now, survey.Find(query.part))
			}
		})
	})
}

// entriesToSurvey returns the targets of a share that run a model. Those that are leaving belong to them: they began
// streams. Nothing is sent to the targets of a data centre that is evacuated; these stay silent.
func (gate *Gate) entriesToSurvey(share int) (list []yuccaroster.Entry, silent map[yuccastream.Origin]bool) {
	table := gate.tables.Load()
	if table == nil {
		return nil, nil
	}
	silent = make(map[yuccastream.Origin]bool)
	for _, entry := range gate.roster.Targets() {
		pool, found := table.Pool(entry.Pool)
		switch {
		case !found || pool.Engine == nil || shareOf(entry.Target) != share:
		case gate.roster.Evacuated(entry.Centre):
			silent[registeredOrigin(entry)] = true
		default:
			list = append(list, entry)
		}
	}
	return list, silent
}

// registeredOrigin returns the pool and version of a target, as it registered.
func registeredOrigin(entry yuccaroster.Entry) yuccastream.Origin {
	return yuccastream.Origin{Pool: entry.Pool, Version: entry.StreamVersion()}
}

// askAllHoldings asks targets which parts of prompts they keep.
func (gate *Gate) askAllHoldings(entries []yuccaroster.Entry) yuccastream.Findings {
	found := yuccastream.Findings{Held: make(map[yuccastream.PartKey][]yuccastream.Holding), Silent: make(map[yuccastream.Origin]bool)}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(surveyedAtOnce)
	for _, entry := range entries {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(gate.traffic, surveyTargetTimeout)
			defer cancel()
			kept, err := gate.askKeptParts(ctx, entry)
			origin := gate.originOf(ctx, entry, len(kept) > 0)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, syscall.ECONNREFUSED):
				// Its process has ended, and what it kept with it.
			case err != nil:
				found.Silent[registeredOrigin(entry)] = true
			}
			for _, one := range kept {
				found.Held[one.Part] = append(found.Held[one.Part], yuccastream.Holding{Origin: origin, Tokens: one.Tokens})
			}
			return nil
		})
	}
	_ = group.Wait()
	return found
}

// askKeptParts asks a target which parts of prompts it keeps.
func (gate *Gate) askKeptParts(ctx context.Context, entry yuccaroster.Entry) ([]KeptPart, error) {
	list, err := gate.askTarget(ctx, entry.Address, gate.dialect.HoldingsPath, maxHoldingsBytes)
	if err != nil {
		return nil, err
	}
	kept, ok := gate.dialect.ReadHoldings(list)
	if !ok {
		return nil, errUnreadableHoldings
	}
	return kept, nil
}

// originOf returns the pool and version of a target that has just said what it keeps. The target is asked when it
// started: if it has restarted under its id, or another one has got its address, its version isn't known.
func (gate *Gate) originOf(ctx context.Context, entry yuccaroster.Entry, keepsAny bool) yuccastream.Origin {
	origin := registeredOrigin(entry)
	if !keepsAny || entry.StartMillis == 0 || gate.dialect.StatusPath == "" {
		return origin
	}
	status, err := gate.askTarget(ctx, entry.Address, gate.dialect.StatusPath, maxStatusBytes)
	if err != nil {
		return yuccastream.Origin{Pool: entry.Pool}
	}
	if startMillis, found := gate.dialect.ReadStart(status); !found || startMillis != entry.StartMillis {
		return yuccastream.Origin{Pool: entry.Pool}
	}
	return origin
}
