package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yuccacleat/platform/yuccastore"
)

const (
	// beatEvery is the time between two writes of a server, and lapseAfter the silence after which its entry is removed.
	beatEvery  = 1200 * time.Millisecond
	lapseAfter = 3 * beatEvery
	// storePage is the number of items in a page of the store.
	storePage = 500
	// storeDelay is the time that the store takes to answer.
	storeDelay = 4 * time.Millisecond
)

// storeStand is the platform's store. Servers write to it at /stand/, which machines don't call.
type storeStand struct {
	rec     *record
	inner   *yuccastore.Store
	address string
	// doors are where the machines reach the store, one each, so that it can turn one of them away.
	doors []*door

	mu sync.Mutex
	// downUntil is until when the store is down for servers.
	downUntil time.Time
	// beats is when each server has last written, and values what it has written, without its number of writes.
	beats  map[string]time.Time
	values map[string]string
}

func startStore(rec *record) (*storeStand, error) {
	listener, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		return nil, err
	}
	stand := &storeStand{
		rec: rec, inner: yuccastore.New(storePage), address: listener.Addr().String(),
		beats: make(map[string]time.Time), values: make(map[string]string),
	}
	go func() { _ = http.Serve(listener, stand) }()
	go stand.expire()
	return stand, nil
}

// door is where one machine reaches the store. On loopback all machines have one address, so they are told apart by what they
// call themselves.
type door struct {
	stand   *storeStand
	machine string
	shut    atomic.Bool
	// lastWatch is when the machine last waited for changes, in Unix milliseconds.
	lastWatch atomic.Int64
}

// newDoor opens the door of a machine.
func (stand *storeStand) newDoor(machine string) *door {
	dor := &door{stand: stand, machine: machine}
	stand.doors = append(stand.doors, dor)
	return dor
}

// ServeHTTP serves the machine, or turns it away: a call that waits is answered at once.
func (dor *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/kv-watch") {
		dor.lastWatch.Store(time.Now().UnixMilli())
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		for ticker := time.NewTicker(storeDelay); ctx.Err() == nil; <-ticker.C {
			if dor.shut.Load() {
				cancel()
			}
		}
	}()
	answer := &heldAnswer{header: make(http.Header), status: http.StatusOK}
	time.Sleep(storeDelay)
	dor.stand.inner.ServeHTTP(answer, r.WithContext(ctx))
	if dor.shut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
}

// awaitWatch waits until the machine waits for changes anew.
func (dor *door) awaitWatch() {
	for before := dor.lastWatch.Load(); dor.lastWatch.Load() == before; {
		time.Sleep(storeDelay)
	}
}

// turnAway has the store turn the machine away for a while.
func (dor *door) turnAway(duration time.Duration) {
	dor.stand.rec.line("the store turns %s away", dor.machine)
	dor.shut.Store(true)
	time.Sleep(duration)
	dor.shut.Store(false)
	dor.stand.rec.line("the store serves %s again", dor.machine)
}

// heldAnswer is an answer that isn't sent yet.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (ans *heldAnswer) Header() http.Header { return ans.header }

// WriteHeader sets the answer's status.
func (ans *heldAnswer) WriteHeader(status int) { ans.status = status }

// Write adds to the answer's body.
func (ans *heldAnswer) Write(part []byte) (int, error) { return ans.body.Write(part) }

// reader returns the machine that has last waited for changes, since a time.
func (stand *storeStand) reader(since time.Time) *door {
	var last *door
	for _, dor := range stand.doors {
		if at := dor.lastWatch.Load(); at >= since.UnixMilli() && (last == nil || at > last.lastWatch.Load()) {
			last = dor
		}
	}
	return last
}

// ServeHTTP serves machines and servers.
func (stand *storeStand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isStand := strings.CutPrefix(r.URL.Path, "/stand/")
	switch {
	case isStand && stand.isDown():
		w.WriteHeader(http.StatusServiceUnavailable)
	case isStand && r.Method == http.MethodPut:
		value, _ := io.ReadAll(r.Body)
		stand.beat(key, string(value))
	case isStand && r.Method == http.MethodDelete:
		stand.remove(key)
	default:
		for _, dor := range stand.doors {
			if strings.HasSuffix(r.UserAgent(), "/"+dor.machine) {
				dor.ServeHTTP(w, r)
				return
			}
		}
		w.WriteHeader(http.StatusForbidden)
	}
}

// setDown has the store be down for servers for a while. Nothing expires meanwhile.
func (stand *storeStand) setDown(duration time.Duration) {
	stand.mu.Lock()
	defer stand.mu.Unlock()
	stand.downUntil = time.Now().Add(duration)
	for key := range stand.beats {
		stand.beats[key] = stand.downUntil
	}
}

func (stand *storeStand) isDown() bool {
	stand.mu.Lock()
	defer stand.mu.Unlock()
	return time.Now().Before(stand.downUntil)
}

// put writes as the operator.
func (stand *storeStand) put(key, value string) {
	stand.inner.Put(key, value)
	stand.rec.line("the store has accepted %s", key)
}

// beat writes a server's entry if it differs from the last one.
func (stand *storeStand) beat(key, value string) {
	stand.mu.Lock()
	defer stand.mu.Unlock()
	stand.beats[key] = time.Now()
	if stand.values[key] == value {
		return
	}
	stand.values[key] = value
	stand.inner.Put(key, value)
	stand.rec.line("the store has accepted %s: %s", key, value)
}

// remove removes an entry, and returns when the store had accepted that.
func (stand *storeStand) remove(key string) time.Time {
	stand.mu.Lock()
	defer stand.mu.Unlock()
	if _, found := stand.values[key]; !found {
		return time.Time{}
	}
	delete(stand.values, key)
	delete(stand.beats, key)
	stand.inner.Remove(key)
	stand.rec.line("the store has removed %s", key)
	return time.Now()
}

// expire removes the entries of servers that have been silent for too long.
func (stand *storeStand) expire() {
	for range time.Tick(pollPause) {
		stand.mu.Lock()
		var silent []string
		for key, at := range stand.beats {
			if time.Since(at) > lapseAfter {
				silent = append(silent, key)
			}
		}
		stand.mu.Unlock()
		for _, key := range silent {
			stand.remove(key)
		}
	}
}
