package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const leavingConfig = `{"version":7,"tenants":[{"name":"hule930","api_keys":["i9n73hh2b9wu3fexd9dn"]}],
"routes":[{"name":"r-lookup","host":"desk.example","prefix":"/lookup/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,
"priority":2,"service":"segreteria","max_attempts":2,"session_affinity":false,"stream_resumption":false,"anonymous":false}],
"services":[{"name":"segreteria","health_check_path":"/healthz","connection_limit":100}],
"limits":{"max_header_bytes":32768,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":20000}}`

const (
	// replacementLead is how long before the replica leaves the one starts that replaces it.
	replacementLead = 500 * time.Millisecond
	// lookupWork is how long a replica works on a lookup, lookupPause the time between two lookups.
	lookupWork  = 60 * time.Millisecond
	lookupPause = 10 * time.Millisecond
	// storeDown is how long the store is down. Afterwards its history is gone.
	storeDown = 250 * time.Millisecond
	// drainTimeout and contactThreshold are the deployment's bounds.
	drainTimeout     = 3 * time.Second
	contactThreshold = 4 * time.Second
	// serveOn is how long the replica that leaves goes on after its entry was removed: drain_timeout_ms and many seconds.
	serveOn = 14 * time.Second
	// tolerance is off the judgement, for delays of this machine.
	tolerance = 500 * time.Millisecond
)

// arrival is a request that reached the replica that leaves.
type arrival struct {
	id string
	at time.Time
}

// playLeaving replaces a replica, which leaves without a word: its entry is removed, and it serves on for a while. The store restarts before
// the daemons that watch it have heard of the removal, and has no history then.
func playLeaving(rec *record, trouble bool) (broken []string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	flt, err := startFleet(rec, leavingConfig, 7)
	if err != nil {
		return nil, err
	}
	defer flt.close()
	for index := range 6 {
		if _, err := flt.startReplica(fmt.Sprintf("i-%d", index), "segreteria", "v1", zones[index%3]); err != nil {
			return nil, err
		}
	}
	if err := flt.startDaemons(ctx, true); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var late []arrival
	leaver := flt.replicas[0]
	leaver.onArrival = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		late = append(late, arrival{id, time.Now()})
	}
	sentAt := make(map[string]time.Time)
	calls, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var group sync.WaitGroup
	group.Go(func() {
		for number := 0; calls.Err() == nil; number++ {
			id := fmt.Sprintf("%06x", number)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			group.Go(func() { flt.lookup(ctx, flt.daemons[number%len(flt.daemons)], id) })
			time.Sleep(lookupPause)
		}
	})
	// Traffic goes on for some time before the replica leaves.
	time.Sleep(8 * time.Second)
	if _, err := flt.startReplica("i-6", leaver.service, leaver.version, leaver.zone); err != nil {
		return nil, err
	}
	time.Sleep(replacementLead)
	if trouble {
		flt.stopStore()
	}
	leaver.withdraw()
	removedAt := time.Now()
	judgedFrom := removedAt.Add(drainTimeout + tolerance)
	if trouble {
		time.Sleep(storeDown)
		flt.store.DropHistory()
		if err := flt.startStore(); err != nil {
			return nil, err
		}
		rec.add("the store is back without its history")
		judgedFrom = time.Now().Add(contactThreshold + tolerance)
	}
	time.Sleep(time.Until(removedAt.Add(serveOn)))
	stopCalls()
	leaver.exit()
	group.Wait()
	count, last := 0, time.Duration(0)
	for _, one := range late {
		if sentAt[one.id].After(judgedFrom) {
			count++
			last = one.at.Sub(removedAt)
		}
	}
	if count > 0 {
		broken = append(broken, fmt.Sprintf("%d requests that were sent later than %.1f s after the removal of %s reached it, the last one %.1f s after it",
			count, judgedFrom.Sub(removedAt).Seconds(), leaver.id, last.Seconds()))
	}
	return broken, nil
}

// lookup sends a lookup to a daemon.
func (flt *fleet) lookup(ctx context.Context, dmn *daemon, id string) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+dmn.callers+"/lookup/"+id, nil)
	if err != nil {
		return
	}
	req.Host = "desk.example"
	req.Header.Set("Yuccacleat-Attempt-Id", id)
	req.Header.Set("Yuccacleat-Key", "i9n73hh2b9wu3fexd9dn")
	req.Header.Set("Yuccacleat-Deadline-Remaining", "3000")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		flt.record.add("client got %v for %s from %s", err, id, dmn.name)
		return
	}
	resp.Body.Close()
	flt.record.add("client got %d for %s from %s, signed %q", resp.StatusCode, id, dmn.name, strings.TrimSuffix(resp.Header.Get("Yuccacleat-Response-Signature"), "."+id))
}
