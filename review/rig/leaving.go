package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scripts["leaving"] = playLeaving }

const (
	// drainTimeout and contactThreshold are drain_timeout_ms and contact_threshold_ms of the settings.
	drainTimeout     = 3 * time.Second
	contactThreshold = 4 * time.Second
	// turnedAwayFor is how long the store turns the reading machine away, and frozenFor how long another machine stands still.
	turnedAwayFor = 300 * time.Millisecond
	frozenFor     = 2600 * time.Millisecond
	// leavesAfter is how long after these the server leaves.
	leavesAfter = 2100 * time.Millisecond
	// releaseSteps is how many servers are replaced meanwhile, and releasePause the time between two of them.
	releaseSteps = 10
	releasePause = 400 * time.Millisecond
	// clientsAfter is how long after that clients begin to send requests.
	clientsAfter = time.Second
	// servesOn is how long the leaving server serves after its entry was removed.
	servesOn = 10 * time.Second
	// callPause is the time between two requests of a client.
	callPause = 40 * time.Millisecond
)

// playLeaving has a server leave without notice while the machine that reads the store has just been turned away by it, and
// another machine has stood still.
func playLeaving(rg *rig) (verdict, error) {
	machines := []machine{
		{"edge-gulf-a-1", "gulf-a"},
		{"edge-panhandle-a-1", "panhandle-a"},
		{"edge-permian-a-1", "permian-a"},
	}
	if err := rg.start(smallConfig, machines...); err != nil {
		return verdict{}, err
	}
	var leaver *replica
	for _, spec := range []replicaSpec{desk("i-1", "permian-a", 0), desk("i-2", "gulf-a", 0), desk("i-3", "panhandle-a", 0)} {
		rep, err := rg.startReplica(spec)
		if err != nil {
			return verdict{}, err
		}
		if leaver == nil {
			leaver = rep
		}
	}
	old := make([]*replica, releaseSteps)
	for step := range old {
		rep, err := rg.startReplica(drafter(fmt.Sprintf("d-%d", step), "gulf-a", "v1"))
		if err != nil {
			return verdict{}, err
		}
		old[step] = rep
	}
	time.Sleep(5 * time.Second)
	reader := rg.store.reader(time.Now().Add(-2 * time.Second))
	if reader == nil {
		return verdict{}, errors.New("no machine waits for changes")
	}
	rg.rec.line("%s reads the store", reader.machine)
	frozen := rg.edges[len(rg.edges)-1]
	if frozen.door == reader {
		frozen = rg.edges[len(rg.edges)-2]
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	calls := &callLog{sent: make(map[string]*edge)}
	time.Sleep(time.Second)
	var frozenAt, wokenAt time.Time
	group.Go(func() { rg.release(old) })
	time.Sleep(releasePause)
	reader.awaitWatch()
	if rg.trouble {
		group.Go(func() { reader.turnAway(turnedAwayFor) })
		group.Go(func() {
			frozenAt = time.Now()
			frozen.freeze(frozenFor)
			wokenAt = time.Now()
		})
	}
	time.Sleep(leavesAfter)
	removedAt := rg.leave(leaver)
	time.Sleep(clientsAfter)
	for index := range 3 * len(rg.edges) {
		group.Go(func() { calls.keepCalling(ctx, rg, index) })
	}
	time.Sleep(servesOn - clientsAfter)
	rg.crash(leaver)
	cancel()
	group.Wait()
	return calls.judge(rg, leaver.spec.ID, removedAt, func(edg *edge, at time.Time) bool {
		inTouch := edg != frozen || !rg.trouble || at.Before(frozenAt) || at.After(wokenAt.Add(contactThreshold))
		return inTouch && (!rg.trouble || edg.door != reader || at.After(removedAt.Add(contactThreshold)))
	}), nil
}

// release replaces servers one after the other: the new one starts first, the old one drains and ends.
func (rg *rig) release(old []*replica) {
	rg.rec.line("the release of the drafters begins")
	var group sync.WaitGroup
	for step, former := range old {
		newer := drafter(fmt.Sprintf("n-%d", step), "gulf-a", "v2")
		if _, err := rg.startReplica(newer); err != nil {
			rg.rec.line("%v", err)
		}
		_ = former.cmd.Process.Signal(syscall.SIGTERM)
		group.Go(func() {
			time.Sleep(drainTimeout + time.Second)
			rg.leave(former)
			rg.crash(former)
		})
		time.Sleep(releasePause)
	}
	group.Wait()
}

// callLog holds which machine each request was sent to.
type callLog struct {
	mu   sync.Mutex
	sent map[string]*edge
}

// keepCalling sends requests to one machine until the context ends.
func (log *callLog) keepCalling(ctx context.Context, rg *rig, index int) {
	edg := rg.edges[index%len(rg.edges)]
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-c%dn%d", edg.at.name, index, number)
		log.mu.Lock()
		log.sent[id] = edg
		log.mu.Unlock()
		rg.send(context.Background(), edg, call{id: id, path: "/ticket/2f", body: "{}", remaining: ticketWait})
		time.Sleep(callPause)
	}
}

// judge counts the requests that a server began to run too late after its entry was removed, of those that a machine in touch
// sent on.
func (log *callLog) judge(rg *rig, server string, removedAt time.Time, inTouch func(*edge, time.Time) bool) verdict {
	log.mu.Lock()
	defer log.mu.Unlock()
	rg.mu.Lock()
	defer rg.mu.Unlock()
	var result verdict
	for id, edg := range log.sent {
		ran, found := rg.lastRun[id]
		late := ran.at.Sub(removedAt)
		if found && ran.server == server && late > drainTimeout && inTouch(edg, ran.at) {
			result.broken = append(result.broken, fmt.Sprintf("%s, sent on by %s, began to run at %s %.1f s after the store had accepted the removal of its entry",
				id, edg.at.name, server, late.Seconds()))
		}
	}
	result.summary = fmt.Sprintf("%d requests, %d reached the server that had left after more than %v", len(log.sent), len(result.broken), drainTimeout)
	return result
}
