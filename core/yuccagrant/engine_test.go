package yuccagrant_test

import (
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// batch is how an engine works that gives all its runs a token in each step, reads prompts in
// chunks between, and so slows all its answers down while it reads a long one.
type batch struct {
	step      time.Duration
	perRun    time.Duration
	readToken time.Duration
	chunk     yuccaid.Tokens
	// eventTokens is how many tokens an event has.
	eventTokens int
	// memory is how many tokens the runs may hold; the newest gives way and begins anew.
	memory yuccaid.Tokens

	// at is until when steps have been played.
	at time.Time
}

// quickBatch is the engine that the others are measured by.
func quickBatch() *batch {
	return &batch{
		step: 2600 * time.Microsecond, perRun: 120 * time.Microsecond, readToken: 20 * time.Microsecond,
		chunk: 2048, eventTokens: 6, memory: 475_969,
	}
}

// batches returns engines of that kind with eight places and a pace each.
func batches(paces ...float64) []*engine {
	engines := fleet(8, paces...)
	for _, eng := range engines {
		eng.batch = quickBatch()
	}
	return engines
}

// progress is how far a run has come on a batching engine.
type progress struct {
	unread yuccaid.Tokens
	tokens int
	events int
	last   time.Time
	pause  time.Duration
}

// advanceBatch plays an engine's steps up to the present.
func (wld *world) advanceBatch(eng *engine) {
	if eng.batch.at.IsZero() {
		eng.batch.at = wld.now
	}
	wld.admitBatch(eng)
	for len(eng.runs) > 0 {
		next := eng.batch.at.Add(eng.stepTime())
		if next.After(wld.now) {
			return
		}
		eng.batch.at = next
		wld.stepBatch(eng)
		wld.admitBatch(eng)
	}
	eng.batch.at = wld.now
}

// stepTime is how long the next step takes.
func (eng *engine) stepTime() time.Duration {
	bat := eng.batch
	took := bat.step + time.Duration(len(eng.runs))*bat.perRun
	if reading := eng.reading(); reading != nil {
		took += time.Duration(min(reading.went.unread, bat.chunk)) * bat.readToken
	}
	return time.Duration(eng.pace * float64(took))
}

// reading returns the run whose prompt is read next, or nil.
func (eng *engine) reading() *job {
	for _, one := range eng.runs {
		if one.went.unread > 0 {
			return one
		}
	}
	return nil
}

func (wld *world) stepBatch(eng *engine) {
	reading := eng.reading()
	var going []*job
	for _, one := range eng.runs {
		switch {
		case one == reading:
			one.went.unread -= min(one.went.unread, eng.batch.chunk)
		case one.went.unread == 0:
			wld.token(eng, one)
		}
		if one.went.events < one.events {
			going = append(going, one)
			continue
		}
		one.done = true
		wld.finish(eng, one, yuccagrant.Served)
	}
	eng.runs = going
	eng.preempt()
}

// token gives a run a token, and an event when it has enough.
func (wld *world) token(eng *engine, one *job) {
	went := &one.went
	went.tokens++
	if went.tokens%eng.batch.eventTokens != 0 {
		return
	}
	went.events++
	if went.events == 1 {
		one.first = eng.batch.at
		one.onTime = !one.first.After(one.ask.SoftDeadline)
		wld.apply(wld.lead.RunStarted(wld.now, one.ask.ID, one.first.Sub(one.sent), yuccagrant.ReportedLoad{}))
	} else {
		went.pause = max(went.pause, eng.batch.at.Sub(went.last))
		one.onTime = one.onTime && went.pause <= one.ask.MaxGap
	}
	went.last = eng.batch.at
}

// preempt sends the newest runs back to the queue while memory is short.
func (eng *engine) preempt() {
	for len(eng.runs) > 1 && eng.held() > eng.batch.memory {
		newest := eng.runs[len(eng.runs)-1]
		eng.runs = eng.runs[:len(eng.runs)-1]
		newest.went.unread = newest.ask.Prompt
		eng.queue = append([]*job{newest}, eng.queue...)
	}
}

func (eng *engine) held() yuccaid.Tokens {
	var sum yuccaid.Tokens
	for _, one := range eng.runs {
		sum += one.ask.Prompt + yuccaid.Tokens(one.went.tokens)
	}
	return sum
}

func (wld *world) admitBatch(eng *engine) {
	for len(eng.queue) > 0 && len(eng.runs) < eng.slots {
		one := eng.queue[0]
		if len(eng.runs) > 0 && eng.held()+one.ask.Prompt > eng.batch.memory {
			return
		}
		eng.queue = eng.queue[1:]
		if one.began.IsZero() {
			one.began = eng.batch.at
			one.went.unread = one.prompt
		}
		eng.runs = append(eng.runs, one)
	}
}
