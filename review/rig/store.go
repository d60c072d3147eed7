package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

	mu sync.Mutex
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

// ServeHTTP serves machines and servers.
func (stand *storeStand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isStand := strings.CutPrefix(r.URL.Path, "/stand/")
	switch {
	case isStand && r.Method == http.MethodPut:
		value, _ := io.ReadAll(r.Body)
		stand.beat(key, string(value))
	case isStand && r.Method == http.MethodDelete:
		stand.remove(key)
	default:
		time.Sleep(storeDelay)
		stand.inner.ServeHTTP(w, r)
	}
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

func (stand *storeStand) remove(key string) {
	stand.mu.Lock()
	defer stand.mu.Unlock()
	if _, found := stand.values[key]; !found {
		return
	}
	delete(stand.values, key)
	delete(stand.beats, key)
	stand.inner.Remove(key)
	stand.rec.line("the store has removed %s", key)
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
