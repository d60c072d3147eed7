package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// replicaSlots is the number of requests that a replica runs at once.
	replicaSlots = 6
	// replicaQueue is how many more requests it queues.
	replicaQueue = 2
	// eventTokens is how many tokens an event holds, eventPause the time between two events.
	eventTokens = 2
	eventPause  = 50 * time.Millisecond
)

// replica is a stand-in for a model replica. The data of its events is its version, so that a client's text shows which
// versions wrote it.
type replica struct {
	fleet                      *fleet
	id, service, version, zone string
	born                       int64
	address                    string
	server                     *http.Server
	// onArrival is called with the id of each request that the replica runs, unless it is nil.
	onArrival         func(id string)
	gone              context.Context
	end               context.CancelFunc
	mu                sync.Mutex
	present, sequence int
	// withdrawn reports whether the replica has removed its entry before its exit.
	withdrawn bool
	// slots has an entry for each request that runs.
	slots chan struct{}
	state string
	kept  map[string]int
}

// startReplica starts a replica and registers it.
func (flt *fleet) startReplica(id, service, version, zone string) (*replica, error) {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	rep := &replica{
		fleet: flt, id: id, service: service, version: version, zone: zone, born: time.Now().UnixMilli(),
		address: listener.Addr().String(), state: "available", slots: make(chan struct{}, replicaSlots), kept: make(map[string]int),
	}
	rep.gone, rep.end = context.WithCancel(context.Background())
	rep.server = &http.Server{Handler: rep}
	go func() { _ = rep.server.Serve(listener) }()
	flt.replicas = append(flt.replicas, rep)
	rep.register()
	flt.record.add("replica %s (%s %s) starts", id, service, version)
	return rep, nil
}

// register writes the replica's entry.
func (rep *replica) register() {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.sequence++
	entry := map[string]any{
		"service": rep.service, "address": rep.address, "zone": rep.zone, "version": rep.version, "concurrency_slots": replicaSlots,
		"replica_state": rep.state, "cold_remaining_ms": 0, "phase": "combined", "born": rep.born, "sequence_number": rep.sequence,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapter_names": []string{}}},
	}
	text, _ := json.Marshal(entry)
	rep.fleet.store.Put("servers/"+rep.id, string(text))
}

// drain has the replica report that it is draining.
func (rep *replica) drain() {
	rep.mu.Lock()
	rep.state = "draining"
	rep.mu.Unlock()
	rep.register()
	rep.fleet.record.add("replica %s is draining", rep.id)
}

// withdraw removes the replica's entry. It serves on until exit.
func (rep *replica) withdraw() {
	rep.withdrawn = true
	rep.fleet.store.Remove("servers/" + rep.id)
	rep.fleet.record.add("replica %s removes its entry and serves on", rep.id)
}

// exit ends the replica: its connections and its entry go.
func (rep *replica) exit() {
	if rep.gone.Err() != nil {
		return
	}
	rep.end()
	_ = rep.server.Close()
	if !rep.withdrawn {
		rep.fleet.store.Remove("servers/" + rep.id)
	}
	rep.fleet.record.add("replica %s exits", rep.id)
}

func (rep *replica) draining() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.state == "draining"
}

// ServeHTTP answers a request as the platform's pages say.
func (rep *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		rep.report(w)
		return
	case "/api/kv-list":
		rep.list(w)
		return
	case "/healthz":
		w.Header().Set("Yuccacleat-Replica-Id", rep.id)
		if rep.draining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Yuccacleat-Attempt-Id")
	w.Header().Set("Yuccacleat-Attempt-Id", id)
	if expected := r.Header.Get("Yuccacleat-Expected-Replica"); expected != "" && expected != rep.id {
		w.Header().Set("Yuccacleat-Replica-Id", rep.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !rep.enter() {
		w.Header().Set("Yuccacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		rep.fleet.record.add("replica %s rejects %s: full", rep.id, id)
		return
	}
	defer rep.leave()
	if !rep.awaitSlot(r.Context()) {
		return
	}
	defer func() { <-rep.slots }()
	rep.keep(r.Header.Get("Yuccacleat-Prompt-Prefix"))
	rep.fleet.record.add("replica %s (%s) runs %s from %q", rep.id, rep.version, id, r.Header.Get("Last-Event-Id"))
	if rep.onArrival != nil {
		rep.onArrival(id)
	}
	if rep.fleet.onRun != nil {
		rep.fleet.onRun(id)
	}
	w.Header().Set("Yuccacleat-Response-Signature", rep.id+"."+id)
	if rep.service == "scribe" {
		rep.stream(w, r)
		return
	}
	time.Sleep(lookupWork)
	fmt.Fprintln(w, "answer to "+id)
}

// enter reports whether there is a place for one more request.
func (rep *replica) enter() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.present >= replicaSlots+replicaQueue {
		return false
	}
	rep.present++
	return true
}

func (rep *replica) leave() {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.present--
}

// awaitSlot waits for a slot. It reports false if the request's connection ends before.
func (rep *replica) awaitSlot(ctx context.Context) bool {
	select {
	case rep.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-rep.gone.Done():
		return false
	}
}

// stream sends the events after the one that the request names.
func (rep *replica) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, answer, _ := strings.Cut(r.Header.Get("Yuccacleat-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(answer)
	for number := from + 1; number <= tokens/eventTokens; number++ {
		select {
		case <-rep.gone.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, rep.version)
		w.(http.Flusher).Flush()
	}
}

// keep keeps the parts of a prompt, in blocks of 16 tokens.
func (rep *replica) keep(parts string) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	for entry := range strings.SplitSeq(parts, ",") {
		id, count, _ := strings.Cut(entry, ":")
		if tokens, err := strconv.Atoi(count); err == nil {
			rep.kept[strings.TrimLeft(id, "0")] = tokens / 16 * 16
		}
	}
}

func (rep *replica) report(w http.ResponseWriter) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapter_names": []string{}}}, "busy": false,
		"sequence_number": 0, "queued_requests": rep.present - len(rep.slots), "active_requests": len(rep.slots), "kv_cache_used": 0, "kv_cache_capacity": 600000,
		"session_handles": 0, "born": rep.born,
	})
}

func (rep *replica) list(w http.ResponseWriter) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	held := [][]any{}
	for id, tokens := range rep.kept {
		held = append(held, []any{"", id, tokens, "m"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": 1, "held": held})
}
