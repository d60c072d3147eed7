package yuccagate

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccastream"
	"yuccacleat/io/yuccawire"
)

const (
	// surveyShards is the number of shards into which the targets are divided. Each shard is asked by a daemon of its own,
	// so that the lists of a large pool don't delay what a slow VM serves.
	surveyShards = 4
	// surveyTimeout bounds the wait for what targets keep. It is much shorter than callers wait for the next event.
	surveyTimeout = 700 * time.Millisecond
	// surveyTargetTimeout bounds the time in which a target tells what it keeps and when it started.
	surveyTargetTimeout = 550 * time.Millisecond
	// surveyedAtOnce is how many targets are asked at once: all of a shard in most fleets, because each takes three round
	// trips, which are long to other regions.
	surveyedAtOnce = 64
	// maxWaitingQueries bounds the queries that wait until a daemon knows any target.
	maxWaitingQueries = 1 << 10
)

// targetSurvey is a survey of one shard of the targets. It belongs to the control goroutine.
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

func newTargetSurveys(startedAt time.Time) (shards [surveyShards]*targetSurvey) {
	for shard := range shards {
		shards[shard] = &targetSurvey{Survey: yuccastream.NewSurvey(startedAt)}
	}
	return shards
}

// surveyRole is the role of the daemon of a data centre that asks the targets of a shard.
func surveyRole(shard int) yuccaid.Pool {
	return yuccaid.Pool("survey of targets\x00" + strconv.Itoa(shard))
}

// shardOf returns the shard of a target.
func shardOf(target yuccaid.Target) int {
	return int(xxhash.Sum64String(string(target)) % surveyShards)
}

// queryHoldings continues a lookup by asking the daemon responsible for each shard what targets keep of
// the stream's prompt.
func (gate *Gate) queryHoldings(now time.Time, lookup *originLookup) {
	lookup.surveyed = true
	lookup.until, lookup.awaiting = now.Add(surveyTimeout), surveyShards
	gate.origins.lookups[lookup.number] = lookup
	for shard := range surveyShards {
		query := yuccawire.HoldingQuery{Number: lookup.number, Shard: shard, Part: lookup.ownPart.Part}
		leader, settled := gate.peers.Leader(surveyRole(shard))
		if settled && leader.Incarnation != gate.incarnation && gate.send(leader.Incarnation, yuccawire.KindHoldingQuery, query) {
			continue
		}
		gate.findHoldings(now, shard, holdingQuery{part: query.Part, answer: func(now time.Time, holdings []yuccastream.Holding) {
			gate.addHoldings(now, lookup.number, holdings)
		}})
	}
}

// addHoldings adds what the targets of a shard keep to a lookup, and ends the lookup after the last shard.
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
	if query.Shard < 0 || query.Shard >= surveyShards {
		return
	}
	answer := func(_ time.Time, holdings []yuccastream.Holding) {
		message := yuccawire.HoldingAnswer{Number: query.Number}
		for _, one := range holdings {
			holding := yuccawire.PartHolding{Pool: one.Origin.Pool, Version: one.Origin.Version, Tokens: one.Tokens}
			message.Holdings = append(message.Holdings, holding)
		}
		gate.send(from, yuccawire.KindHoldingAnswer, message)
	}
	gate.findHoldings(now, query.Shard, holdingQuery{part: query.Part, answer: answer})
}

// onHoldingAnswer handles an answer to one of this daemon's queries.
func (gate *Gate) onHoldingAnswer(now time.Time, answer yuccawire.HoldingAnswer) {
	var holdings []yuccastream.Holding
	for _, one := range answer.Holdings {
		origin := yuccastream.Origin{Pool: one.Pool, Version: one.Version}
		holdings = append(holdings, yuccastream.Holding{Origin: origin, Tokens: one.Tokens})
	}
	gate.addHoldings(now, answer.Number, holdings)
}

// findHoldings answers a query from the shard's last survey, or has the targets asked again if they kept nothing of the part
// then.
func (gate *Gate) findHoldings(now time.Time, shard int, query holdingQuery) {
	survey := gate.surveys[shard]
	if !gate.knowsTargets() && len(survey.waiting) < maxWaitingQueries {
		survey.waiting = append(survey.waiting, query)
		return
	}
	if survey.Tells(query.part) {
		query.answer(now, survey.Find(query.part))
		return
	}
	if survey.Start(now) {
		gate.surveyTargets(now, shard)
	}
	if survey.Known() && !survey.Running() || len(survey.waiting) >= maxWaitingQueries {
		query.answer(now, survey.Find(query.part))
		return
	}
	survey.waiting = append(survey.waiting, query)
}

// forgetHoldings forgets what targets kept before another daemon was lost.
func (gate *Gate) forgetHoldings(now time.Time) {
	gate.origins.daemonLostAt = now
	for _, survey := range gate.surveys {
		survey.LoseDaemon(now)
	}
}

// knowsTargets reports whether this daemon has learned of all targets since it started, and which pools run models. Callers that
// take streams up come as soon as a daemon accepts connections, and changes of single targets may arrive before the list.
func (gate *Gate) knowsTargets() bool { return gate.platformRevision > 0 && gate.tables.Load() != nil }

// tickSurveys forgets old surveys, and goes on with the queries that came before any target was known.
func (gate *Gate) tickSurveys(now time.Time) {
	for shard, survey := range gate.surveys {
		survey.Expire(now)
		if survey.Running() || len(survey.waiting) == 0 || !gate.knowsTargets() {
			continue
		}
		waiting := survey.waiting
		survey.waiting = nil
		for _, query := range waiting {
			gate.findHoldings(now, shard, query)
		}
	}
}

// surveyTargets asks the targets of a shard which parts of prompts they keep, and then answers the queries that wait.
func (gate *Gate) surveyTargets(startedAt time.Time, shard int) {
	entries, silent := gate.entriesToSurvey(shard)
	gate.workers.Go(func() {
		found := gate.listHoldings(entries)
		maps.Copy(found.Silent, silent)
		gate.control.Post(func(now time.Time) {
			survey := gate.surveys[shard]
			survey.End(found)
			gate.log.stateChange("targets asked what they keep", "share", shard, "asked", len(entries),
				"silent", len(found.Silent), "parts", len(found.Held), "millis", now.Sub(startedAt).Milliseconds())
			waiting := survey.waiting
			survey.waiting = nil
			for _, query := range waiting {
				query.answer(now, survey.Find(query.part))
			}
		})
	})
}

// entriesToSurvey returns the targets of a shard that run a model, including those that are leaving, since they may
// have begun streams. Targets of an evacuated data centre aren't asked; silent holds their pools and versions.
func (gate *Gate) entriesToSurvey(shard int) (list []yuccaroster.Entry, silent map[yuccastream.Origin]bool) {
	table := gate.tables.Load()
	if table == nil {
		return nil, nil
	}
	silent = make(map[yuccastream.Origin]bool)
	for _, entry := range gate.roster.Targets() {
		pool, found := table.Pool(entry.Pool)
		switch {
		case !found || pool.Engine == nil || shardOf(entry.Target) != shard:
		case gate.roster.Evacuated(entry.Centre):
			silent[registeredOrigin(entry)] = true
		default:
			list = append(list, entry)
		}
	}
	return list, silent
}
