package main

import (
	"context"
	"sync"
	"time"
)

func init() { scripts["flap"] = playFlap }

const (
	// flapDown is how long the server is down before it starts again, and flapUp how long it runs then.
	flapDown = 300 * time.Millisecond
	flapUp   = 3500 * time.Millisecond
	// storeDown is how long the store is down meanwhile.
	storeDown = 4500 * time.Millisecond
	// flapClients clients send one stream after the other for flapTime, each of flapEvents events.
	flapClients = 28
	flapTime    = 9 * time.Second
	flapEvents  = 80
)

// playFlap has a server go down and up by turns while the store is down: it comes back under its id with the next version, and goes
// down again.
func playFlap(rg *rig) (verdict, error) {
	if err := rg.start(smallConfig, machine{"edge-permian-a-1", "permian-a"}, machine{"edge-gulf-a-1", "gulf-a"}, machine{"edge-panhandle-a-1", "panhandle-a"}); err != nil {
		return verdict{}, err
	}
	flapping := drafter("i-3", "panhandle-a", "v1")
	var server *replica
	for _, spec := range []replicaSpec{
		drafter("i-1", "permian-a", "v1"), drafter("i-2", "gulf-a", "v1"), drafter("i-4", "permian-a", "v1"),
		drafter("i-6", "panhandle-a", "v1"), flapping,
	} {
		rep, err := rg.startReplica(spec)
		if err != nil {
			return verdict{}, err
		}
		server = rep
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), flapTime)
	defer cancel()
	var mu sync.Mutex
	var turns []*turn
	var group sync.WaitGroup
	for client := range flapClients {
		group.Go(func() {
			time.Sleep(time.Duration(client) * 60 * time.Millisecond)
			for number := 1; ctx.Err() == nil; number++ {
				next := &turn{rg: rg, session: 100*client + number, machine: client, number: 1, prompt: sessionTokens, events: flapEvents}
				next.play(context.Background())
				mu.Lock()
				turns = append(turns, next)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	if rg.trouble {
		if err := rg.flap(server); err != nil {
			return verdict{}, err
		}
	}
	group.Wait()
	return judgeVersions(turns), nil
}

// flap has a server go down, come back under its id with the next version, and go down again.
func (rg *rig) flap(server *replica) error {
	for _, dor := range rg.store.doors {
		go dor.turnAway(storeDown)
	}
	rg.store.setDown(storeDown)
	rg.crash(server)
	<-server.done
	time.Sleep(flapDown)
	newer := server.spec
	newer.Version = "v2"
	again, err := rg.startReplica(newer)
	if err != nil {
		return err
	}
	time.Sleep(flapUp)
	rg.crash(again)
	return nil
}
