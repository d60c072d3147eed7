package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventPause is the time between two events of a stream: a step of an engine takes 6.55 ms and more, and an event
	// holds two tokens.
	eventPause = 30 * time.Millisecond
	// sharedTokens, sessionTokens and questionTokens are the sizes of a prompt's parts: what all prompts share, what a
	// session begins with, and what its second turn adds beside the first answer.
	sharedTokens   = 60
	sessionTokens  = 2000
	questionTokens = 20
	firstEvents    = 10
	shortEvents    = 40
	longEvents     = 90
	// streamTime is how long a client waits for a stream.
	streamTime = 15 * time.Second
	// clientTries bounds a client's attempts.
	clientTries = 4
)

// turn is one turn of a session: a stream that its client takes up when it breaks off.
type turn struct {
	rg      *rig
	session int
	number  int
	// machine is the machine that the client's first connection reaches.
	machine int
	// prompt is the size of the session's part.
	prompt, events int
	// got are the events that the client has.
	got []event
	// tries are the answers.
	tries []answer
	whole bool
}

// play sends the turn's stream, and takes it up at other machines.
func (trn *turn) play(ctx context.Context) {
	deadline := time.Now().Add(streamTime)
	for try := range clientTries {
		one := call{
			id: fmt.Sprintf("s%dt%da%d", trn.session, trn.number, try), path: "/note/2f", remaining: time.Until(deadline),
			prompt: fmt.Sprintf("5c1e07a2:%d,%x:%d", sharedTokens, 0xb000+trn.session, trn.prompt),
			counts: fmt.Sprintf("%d,%d", sharedTokens+trn.prompt, trn.events*tokensPerEvent),
			body:   "{}",
		}
		if len(trn.got) > 0 {
			one.lastEventID = strconv.Itoa(trn.got[len(trn.got)-1].id)
		}
		answered := trn.rg.send(ctx, trn.rg.edges[(trn.machine+try)%len(trn.rg.edges)], one)
		trn.tries = append(trn.tries, answered)
		if answered.status == 200 {
			trn.got = append(trn.got, answered.events...)
		}
		if answered.status == 200 && answered.whole {
			trn.whole = true
			return
		}
		pause := max(answered.retryAfter, 20*time.Millisecond)
		if time.Until(deadline) < 3*pause {
			return
		}
		time.Sleep(pause)
	}
}

// versions returns the versions of the turn's events in the order in which they came.
func (trn *turn) versions() (list []string) {
	for _, ev := range trn.got {
		version, _, _ := strings.Cut(ev.data, " ")
		if len(list) == 0 || list[len(list)-1] != version {
			list = append(list, version)
		}
	}
	return list
}

// playTurns plays a turn of each session at once.
func (rg *rig) playTurns(ctx context.Context, sessions int, newTurn func(session int) *turn) []*turn {
	turns := make([]*turn, sessions)
	var group sync.WaitGroup
	for session := range sessions {
		turns[session] = newTurn(session)
		turns[session].rg = rg
		group.Go(func() { turns[session].play(ctx) })
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	return turns
}

// judgeVersions counts the streams whose pieces come from two versions.
func judgeVersions(turns []*turn) verdict {
	var result verdict
	whole, takenUp := 0, 0
	for _, trn := range turns {
		if trn.whole {
			whole++
		}
		if len(trn.tries) > 1 {
			takenUp++
		}
		if list := trn.versions(); len(list) > 1 {
			result.broken = append(result.broken, fmt.Sprintf("session %d, turn %d: the client got one stream of %d events joined from versions %s, whole: %t",
				trn.session, trn.number, len(trn.got), strings.Join(list, " and "), trn.whole))
		}
	}
	result.summary = fmt.Sprintf("%d streams, %d whole, %d tried again, %d joined from two versions", len(turns), whole, takenUp, len(result.broken))
	return result
}
