package yuccagrant_test

import (
	"slices"
	"time"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// batching simulates an engine that generates, in every step, one token for each run whose prompt
// has been read. In the same step the engine reads a chunk of one other prompt, so all its answers
// slow down while it reads a long prompt.
type batching struct {
	// A step takes the time step, plus perRun for each run of the engine, plus prefillPerToken for
	// each prompt token that is read in the step. At most chunk prompt tokens are read in one step.
	step            time.Duration
	perRun          time.Duration
	prefillPerToken time.Duration
	chunk           yuccaid.Tokens
	// eventTokens is the number of tokens in an event.
	eventTokens int
	// memory is the number of tokens that the runs may occupy. If the runs occupy more, the newest
	// run is preempted. The engine reads the prompt of a preempted run again later.
	memory yuccaid.Tokens

	// fetchRate is how many tokens a second the engine can fetch from another engine's cache.
	fetchRate float64
	// ignoresFetches is set for an engine that reads what it should fetch.
	ignoresFetches bool

	// simulatedUntil is the time up to which the engine has been simulated.
	simulatedUntil time.Time
	// cache holds the parts of prompts that the engine keeps. readTokens counts the prompt tokens
	// that the engine had to read, and keptTokens those that it had kept.
	cache                  yuccacache.Model
	readTokens, keptTokens yuccaid.Tokens
}

// fastBatching returns the parameters of an engine of pace 1.
func fastBatching() *batching {
	return &batching{
		step: 2600 * time.Microsecond, perRun: 120 * time.Microsecond, prefillPerToken: 20 * time.Microsecond,
		chunk: 2048, eventTokens: 6, memory: 475_969, cache: yuccacache.New(475_969, 0),
	}
}

// batchingEngines returns batching engines with eight slots each and the given paces.
func batchingEngines(paces ...float64) []*engine {
	engines := newEngines(8, paces...)
	for _, eng := range engines {
		eng.batching = fastBatching()
	}
	return engines
}

// progress is how far a run on a batching engine has come.
type progress struct {
	unreadPrompt yuccaid.Tokens
	tokens       int
	events       int
	lastEvent    time.Time
	longestGap   time.Duration
}

// advanceBatch simulates the steps of a batching engine that end by the current time.
func (sim *simulation) advanceBatch(eng *engine) {
	if eng.batching.simulatedUntil.IsZero() {
		eng.batching.simulatedUntil = sim.now
	}
	sim.admitBatch(eng)
	for len(eng.runs) > 0 {
		next := eng.batching.simulatedUntil.Add(eng.stepDuration())
		if next.After(sim.now) {
			return
		}
		eng.batching.simulatedUntil = next
		sim.stepBatch(eng)
		sim.admitBatch(eng)
	}
	eng.batching.simulatedUntil = sim.now
}

// keeps returns how many tokens from the start of a prompt the engine keeps.
func (batch *batching) keeps(parts []yuccacache.Part) yuccaid.Tokens {
	kept := yuccaid.Tokens(0)
	for _, part := range parts {
		if !batch.cache.Holds(part.Hash) {
			break
		}
		kept += yuccaid.Tokens(part.Size)
	}
	return kept
}

// readPrompt returns how many tokens of a job's prompt the engine has to read, and records that it
// keeps the prompt's parts.
func (batch *batching) readPrompt(jb *job) yuccaid.Tokens {
	kept := batch.keeps(jb.parts)
	if jb.fetchFrom != nil && !batch.ignoresFetches {
		kept = max(kept, jb.fetchFrom.batching.keeps(jb.parts))
	}
	for _, part := range slices.Backward(jb.parts) {
		batch.cache.Touch(part.Hash, part.Size, func(uint64) {})
	}
	kept = min(kept, jb.prompt)
	batch.keptTokens += kept
	batch.readTokens += jb.prompt - kept
	return jb.prompt - kept
}

// stepDuration returns how long the next step takes.
func (eng *engine) stepDuration() time.Duration {
	batch := eng.batching
	took := batch.step + time.Duration(len(eng.runs))*batch.perRun
	if prefilling := eng.prefilling(); prefilling != nil {
		took += time.Duration(min(prefilling.state.unreadPrompt, batch.chunk)) * batch.prefillPerToken
	}
	return time.Duration(eng.pace * float64(took))
}

// prefilling returns the run whose prompt is read next, or nil.
func (eng *engine) prefilling() *job {
	for _, jb := range eng.runs {
		if jb.state.unreadPrompt > 0 {
			return jb
		}
	}
	return nil
}

// stepBatch simulates one step: one run reads a chunk of its prompt, and each run whose prompt has
// been read generates a token.
func (sim *simulation) stepBatch(eng *engine) {
	prefilling := eng.prefilling()
	var remaining []*job
	for _, jb := range eng.runs {
		switch {
		case jb == prefilling:
			jb.state.unreadPrompt -= min(jb.state.unreadPrompt, eng.batching.chunk)
		case jb.state.unreadPrompt == 0:
			sim.emitToken(eng, jb)
		}
		if jb.state.events < jb.events {
			remaining = append(remaining, jb)
			continue
		}
		jb.done = true
		sim.finish(eng, jb, yuccagrant.Served)
	}
	eng.runs = remaining
	eng.preempt()
}

// emitToken generates a token of a run, and an event after every eventTokens tokens.
func (sim *simulation) emitToken(eng *engine, jb *job) {
	state := &jb.state
	state.tokens++
	if state.tokens%eng.batching.eventTokens != 0 {
		return
	}
	state.events++
	if state.events == 1 {
		jb.first = eng.batching.simulatedUntil
		jb.onTime = !jb.first.After(jb.req.SoftDeadline)
		sim.apply(jb.lead.RunStarted(sim.now, jb.req.ID, jb.first.Sub(jb.sent), yuccagrant.ReportedLoad{}))
	} else {
		state.longestGap = max(state.longestGap, eng.batching.simulatedUntil.Sub(state.lastEvent))
		jb.onTime = jb.onTime && state.longestGap <= jb.req.MaxGap
	}
	state.lastEvent = eng.batching.simulatedUntil
}

// preempt moves the newest runs back to the queue while the tokens of all runs exceed the memory.
func (eng *engine) preempt() {
	for len(eng.runs) > 1 && eng.tokensHeld() > eng.batching.memory {
		newest := eng.runs[len(eng.runs)-1]
		eng.runs = eng.runs[:len(eng.runs)-1]
		newest.state.unreadPrompt = newest.req.Prompt
		eng.queue = append([]*job{newest}, eng.queue...)
	}
}

// tokensHeld returns the number of tokens that the runs occupy in the engine's memory.
func (eng *engine) tokensHeld() yuccaid.Tokens {
	var sum yuccaid.Tokens
	for _, jb := range eng.runs {
		sum += jb.req.Prompt + yuccaid.Tokens(jb.state.tokens)
	}
	return sum
}

// admitBatch moves requests from the engine's queue to its runs while slots and memory suffice.
func (sim *simulation) admitBatch(eng *engine) {
	for len(eng.queue) > 0 && len(eng.runs) < eng.slots {
		jb := eng.queue[0]
		if len(eng.runs) > 0 && eng.tokensHeld()+jb.req.Prompt > eng.batching.memory {
			return
		}
		eng.queue = eng.queue[1:]
		if jb.starts.IsZero() {
			jb.starts = eng.batching.simulatedUntil
			jb.state.unreadPrompt = eng.batching.readPrompt(jb)
		}
		eng.runs = append(eng.runs, jb)
	}
}
