package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const versionsConfig = `{"version":7,"tenants":[{"name":"hule930","api_keys":["i9n73hh2b9wu3fexd9dn"]}],
"routes":[{"name":"r-note","host":"desk.example","prefix":"/note/","route_kind":"streaming","timeout_ms":15000,"target_latency_ms":1200,
"gap_target_ms":300,"priority":0,"service":"scribe","max_attempts":2,"session_affinity":true,"stream_resumption":true,"anonymous":false}],
"services":[{"name":"scribe","health_check_path":"/healthz","connection_limit":360,"inference_engine":{"concurrency_slots":6,"kv_cache_tokens":580694}}],
"limits":{"max_header_bytes":32768,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":20000}}`

const (
	// sessionCount is how many sessions there are, half of what the replicas run at once in a turn.
	sessionCount = 12
	// drainTime is how long a draining replica goes on: the deployment's drain_timeout_ms and a little longer.
	drainTime = 3400 * time.Millisecond
	// shortTurns is how many questions of a session get short answers. The last one gets a long answer, which takes longer than
	// a replica drains. Both are in tokens.
	shortTurns              = 6
	shortAnswer, longAnswer = 40, 240
	// betweenSessions is the time between the requests of two sessions.
	betweenSessions = 30 * time.Millisecond
)

// turnStride is the order in which the sessions ask, by their turns.
var turnStride = [...]int{1, 5, 7, 11, 5, 1, 7}

// playVersions replaces the replicas of a service one after the other by those of a newer version, while sessions ask several times.
// A session's last answer is cut off when its replica exits, and its client takes it up.
func playVersions(rec *record, trouble bool) (broken []string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	flt, err := startFleet(rec, versionsConfig, 3)
	if err != nil {
		return nil, err
	}
	defer flt.close()
	old := make([]*replica, 2)
	for index := range old {
		if old[index], err = flt.startReplica(fmt.Sprintf("i-old%d", index), "scribe", "v1", zones[index]); err != nil {
			return nil, err
		}
	}
	if err := flt.startDaemons(ctx, true); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := flt.replaceOne(old[0], 0); err != nil {
			return nil, err
		}
	}
	for number := range shortTurns {
		flt.turn(number, shortAnswer)
	}
	last := make(chan []*streamed, 1)
	go func() { last <- flt.turn(shortTurns, longAnswer) }()
	time.Sleep(time.Second)
	if trouble {
		if err := flt.replaceOne(old[1], 1); err != nil {
			return nil, err
		}
	}
	for index, got := range <-last {
		if list := got.versions(); got.whole && len(list) > 1 {
			broken = append(broken, fmt.Sprintf("session %d: the text is joined from versions %s (signed by %s)", index, strings.Join(list, ", "), strings.Join(got.from, ", ")))
		}
		if got.gap != "" {
			broken = append(broken, fmt.Sprintf("session %d: %s", index, got.gap))
		}
	}
	return broken, nil
}

// replaceOne replaces a replica by one of the new version: the new one starts first, and the old one drains and exits.
func (flt *fleet) replaceOne(old *replica, index int) error {
	if _, err := flt.startReplica(fmt.Sprintf("i-new%d", index), old.service, "v2", old.zone); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	old.drain()
	time.Sleep(drainTime)
	old.exit()
	return nil
}

// turn has each session ask once for an answer of a number of tokens, and returns what the clients received.
func (flt *fleet) turn(number, answer int) []*streamed {
	list := make([]*streamed, sessionCount)
	var group sync.WaitGroup
	for place := range list {
		// In each turn, the sessions come in another order.
		index := (place*turnStride[number] + number) % sessionCount
		first, second := flt.daemons[index%len(flt.daemons)], flt.daemons[(index+1)%len(flt.daemons)]
		group.Go(func() {
			id := fmt.Sprintf("%02d%02d", number, index)
			prompt := fmt.Sprintf("5c1e07a2:60,%08x:400", 0xa0000000+index)
			list[index] = flt.follow(id, prompt, answer, first, second)
		})
		time.Sleep(betweenSessions)
	}
	group.Wait()
	return list
}
