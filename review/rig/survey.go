package main

import (
	"context"
	"sync"
	"time"
)

// serveOn is how long the machines have run before the release begins.
const serveOn = 40 * time.Second

func init() { scripts["survey"] = playSurvey }

// playSurvey has clients' connections reset twice while a release is under way. No server and no machine ends.
func playSurvey(rg *rig) (verdict, error) {
	machines := []machine{
		{"edge-permian-a-1", "permian-a"},
		{"edge-permian-a-2", "permian-a"},
		{"edge-permian-a-3", "permian-a"},
	}
	if err := rg.start(smallConfig, machines...); err != nil {
		return verdict{}, err
	}
	for _, spec := range []replicaSpec{drafter("i-1", "permian-a", "v1"), drafter("i-2", "gulf-a", "v1"), drafter("i-3", "panhandle-a", "v1")} {
		if _, err := rg.startReplica(spec); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const sessions, others, otherSessions = 24, 12, 100
	const resetAfter = 700 * time.Millisecond
	rg.playTurns(ctx, sessions, func(session int) *turn {
		return &turn{session: session, machine: session, number: 1, prompt: sessionTokens, events: firstEvents}
	})
	rg.rec.line("the machines serve on for a while")
	time.Sleep(serveOn)
	rg.rec.line("the release begins: the first server of version v2 starts")
	if _, err := rg.startReplica(drafter("i-4", "permian-a", "v2")); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	// Other sessions' first turns: some of their streams are taken up.
	turns := rg.playWave(ctx, others, resetAfter, func(session int) *turn {
		return &turn{session: otherSessions + session, number: 1, prompt: sessionTokens, events: shortEvents}
	})
	turns = append(turns, rg.playWave(ctx, sessions, 3*resetAfter/2, func(session int) *turn {
		return &turn{session: session, number: 2, prompt: sessionTokens + firstEvents*tokensPerEvent + questionTokens, events: longEvents}
	})...)
	return judgeVersions(turns), nil
}

// playWave plays a turn of each session at once, and has every second connection of clients to the first machine reset after a while.
func (rg *rig) playWave(ctx context.Context, sessions int, resetAfter time.Duration, newTurn func(session int) *turn) (turns []*turn) {
	var group sync.WaitGroup
	group.Go(func() { turns = rg.playTurns(ctx, sessions, newTurn) })
	time.Sleep(resetAfter)
	if rg.trouble {
		rg.rec.line("every second connection of clients to %s is reset", rg.edges[0].at.name)
		rg.edges[0].proxy.resetEvery(2)
	}
	group.Wait()
	return turns
}
