package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// replicaSpec says what a server's process is.
type replicaSpec struct {
	ID, Service, Zone, Version, Address, Store string
	// Engine says whether the server runs a model: its answers are streams of events.
	Engine bool
	Slots  int
	Queue  int
	// EventPause is the time between two events, and WorkTime that of a plain request.
	EventPause, WorkTime time.Duration
	// FailShare is the share of plain requests that the server fails with 503 after it has run them.
	FailShare float64
}

// prefillPerMilli is how many prompt tokens an engine reads in a millisecond, and tokensPerEvent how many an event holds.
const (
	prefillPerMilli = 62.4
	tokensPerEvent  = 2
)

// engine is the server of a service.
type engine struct {
	spec  replicaSpec
	born  int64
	slots chan struct{}

	mu       sync.Mutex
	waiting  int
	running  int
	draining bool
	// kept is how many tokens are kept of each part.
	kept map[string]keptPart
}

type keptPart struct {
	tokens int
	model  string
}

// runReplica serves until the process is ended. A request to stop has it drain.
func runReplica(text string) {
	var spec replicaSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	eng := &engine{spec: spec, born: time.Now().UnixMilli(), slots: make(chan struct{}, spec.Slots), kept: make(map[string]keptPart)}
	listener, err := net.Listen("tcp", spec.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	leaves := make(chan os.Signal, 1)
	signal.Notify(leaves, syscall.SIGUSR1)
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM)
	drains := make(chan struct{})
	go func() {
		<-stops
		eng.mu.Lock()
		eng.draining = true
		eng.mu.Unlock()
		close(drains)
	}()
	go eng.beat(leaves, drains)
	_ = http.Serve(listener, eng)
}

// beat writes the server's entry to the store until the server leaves without notice.
func (eng *engine) beat(leaves <-chan os.Signal, drains <-chan struct{}) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		req, err := http.NewRequest(http.MethodPut, "http://"+eng.spec.Store+"/stand/servers/"+eng.spec.ID, strings.NewReader(eng.entry()))
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ticker.C:
		case <-drains:
			drains = nil
		case <-leaves:
			return
		}
	}
}

func (eng *engine) entry() string {
	eng.mu.Lock()
	state := "available"
	if eng.draining {
		state = "draining"
	}
	eng.mu.Unlock()
	spec := eng.spec
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"concurrency_slots":%d,"replica_state":%q,"cold_remaining_ms":0,"sequence_number":1,"born":%d}`,
		spec.Service, spec.Address, spec.Zone, spec.Version, spec.Slots, state, eng.born)
}

// ServeHTTP serves requests and the calls of the platform's page on servers.
func (eng *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		eng.report(w)
	case "/api/kv-list":
		eng.list(w)
	default:
		eng.serve(w, r)
	}
}

func (eng *engine) report(w http.ResponseWriter) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	fmt.Fprintf(w, `{"phase":"combined","models":[{"name":"m","version":1,"adapter_names":[]}],"busy":false,"sequence_number":1,"queued_requests":%d,"active_requests":%d,"kv_cache_used":0,"kv_cache_capacity":638852,"session_handles":0,"born":%d}`,
		eng.waiting, eng.running, eng.born)
}

func (eng *engine) list(w http.ResponseWriter) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	held := make([][]any, 0, len(eng.kept))
	for id, part := range eng.kept {
		held = append(held, []any{"", id, part.tokens, part.model})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": eng.born, "next": 1, "held": held})
}

// serve runs a request of a client, or says that it doesn't.
func (eng *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Yuccacleat-Attempt-Id")
	w.Header().Set("Yuccacleat-Attempt-Id", id)
	w.Header().Set("Yuccacleat-Replica-Id", eng.spec.ID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Yuccacleat-Expected-Replica"); expected != "" && expected != eng.spec.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !eng.enter(r.Context()) {
		w.Header().Set("Yuccacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer eng.leave()
	if r.Context().Err() != nil {
		return
	}
	fmt.Printf("runs %s (%s %s) after event %q\n", id, r.Method, r.URL.Path, r.Header.Get("Last-Event-Id"))
	w.Header().Set("Yuccacleat-Response-Signature", "sig-"+eng.spec.ID+"-"+id)
	eng.mu.Lock()
	w.Header().Set("Yuccacleat-Replica-Load", fmt.Sprintf("%d,%d,%d", eng.running, eng.waiting, eng.spec.Slots))
	eng.mu.Unlock()
	if !eng.spec.Engine {
		time.Sleep(eng.spec.WorkTime)
		if rand.Float64() < eng.spec.FailShare {
			fmt.Printf("has run %s, and answers 503\n", id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, "%s did %s with %d bytes\n", eng.spec.ID, id, len(body))
		fmt.Printf("has run %s\n", id)
		return
	}
	sent, whole := eng.stream(w, r)
	fmt.Printf("ends %s after event %d, whole: %t\n", id, sent, whole)
}

// enter waits for a slot. It reports false if too many wait, or the caller has left.
func (eng *engine) enter(ctx context.Context) bool {
	eng.mu.Lock()
	if eng.waiting >= eng.spec.Queue {
		eng.mu.Unlock()
		return false
	}
	eng.waiting++
	eng.mu.Unlock()
	defer func() {
		eng.mu.Lock()
		eng.waiting--
		eng.mu.Unlock()
	}()
	select {
	case eng.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	eng.mu.Lock()
	eng.running++
	eng.mu.Unlock()
	return true
}

func (eng *engine) leave() {
	eng.mu.Lock()
	eng.running--
	eng.mu.Unlock()
	<-eng.slots
}

// stream reads the prompt and sends the events after the one that the request names.
func (eng *engine) stream(w http.ResponseWriter, r *http.Request) (sent int, whole bool) {
	parts := readParts(r.Header.Get("Yuccacleat-Prompt-Prefix"))
	prompt, answer := readCounts(r.Header.Get("Yuccacleat-Token-Counts"))
	model := r.Header.Get("Yuccacleat-Model-Name")
	time.Sleep(time.Duration(float64(prompt) / prefillPerMilli * float64(time.Millisecond)))
	eng.keep(parts, model, 0)
	w.Header().Set("Content-Type", "text/event-stream")
	sent, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	last := answer / tokensPerEvent
	for sent < last {
		if r.Context().Err() != nil {
			return sent, false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s text %d of %d\n\n", sent+1, eng.spec.Version, eng.spec.ID, sent+1, last); err != nil {
			return sent, false
		}
		sent++
		w.(http.Flusher).Flush()
		time.Sleep(eng.spec.EventPause)
	}
	eng.keep(parts, model, answer)
	return sent, true
}

// promptPart is a part of a prompt.
type promptPart struct {
	id     string
	tokens int
}

// keep records that the prompt's parts are kept, the last one with what was generated.
func (eng *engine) keep(parts []promptPart, model string, generated int) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	for index, part := range parts {
		tokens := part.tokens
		if index == len(parts)-1 {
			tokens += generated
		}
		eng.kept[part.id] = keptPart{tokens: max(tokens, eng.kept[part.id].tokens), model: model}
	}
}

func readParts(text string) (parts []promptPart) {
	for entry := range strings.SplitSeq(text, ",") {
		id, count, _ := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(count)
		if err == nil {
			parts = append(parts, promptPart{id: id, tokens: tokens})
		}
	}
	return parts
}

func readCounts(text string) (prompt, answer int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(first)
	answer, _ = strconv.Atoi(second)
	return prompt, answer
}
