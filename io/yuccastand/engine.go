package yuccastand

import (
	"net"
	"sync"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/io/yuccatarget"
)

// step is how often the batch advances while it has work.
const step = 2 * time.Millisecond

// Defaults of an engine: a mid-size model on one accelerator.
const (
	DefaultPrefill yuccaid.TokenRate = 4000
	DefaultDecode  yuccaid.TokenRate = 50
	DefaultSlots                     = 8
	DefaultCache   yuccaid.Tokens    = 200_000
	DefaultBlock   yuccaid.Tokens    = yuccaqueue.BlockTokens
)

// EngineOption changes an engine before it starts.
type EngineOption func(*Engine)

// WithRates sets the tokens per second that the engine prefills in all and decodes
// for each run.
func WithRates(prefill, decode yuccaid.TokenRate) EngineOption {
	return func(eng *Engine) { eng.prefill, eng.decode = prefill, decode }
}

// WithSlots sets how many runs are in the batch at once.
func WithSlots(slots int) EngineOption {
	return func(eng *Engine) { eng.slots = slots }
}

// WithCache sets the size of the prefix cache and of one of its blocks.
func WithCache(size, block yuccaid.Tokens) EngineOption {
	return func(eng *Engine) { eng.cache = newPrefixCache(size, block) }
}

// WithPieceTokens sets how many tokens go into one piece of an answer.
func WithPieceTokens(tokens yuccaid.Tokens) EngineOption {
	return func(eng *Engine) { eng.pieceTokens = tokens }
}

// WithFenceCheck makes the engine refuse orders with an old fencing number.
func WithFenceCheck() EngineOption {
	return func(eng *Engine) { eng.checksFence = true }
}

// WithEngineFaults sets the faults that the engine starts with.
func WithEngineFaults(faults Faults) EngineOption {
	return func(eng *Engine) { eng.SetFaults(faults) }
}

// Engine stands in for a model engine with continuous batching: it admits runs in the
// order they arrive, prefills one after the other and decodes all together.
type Engine struct {
	*backend
	prefill     yuccaid.TokenRate
	decode      yuccaid.TokenRate
	slots       int
	pieceTokens yuccaid.Tokens
	checksFence bool
	wake        chan struct{}

	mu      sync.Mutex
	cache   *prefixCache
	events  eventLog
	tried   int
	waiting []*generation
	batch   []*generation
	latest  map[string]*generation
	state   orderState
	load    yuccatarget.Load
	loaded  time.Time
}

// NewEngine starts an engine on the listener.
func NewEngine(listener net.Listener, options ...EngineOption) *Engine {
	eng := &Engine{
		backend:     newBackend(listener),
		prefill:     DefaultPrefill,
		decode:      DefaultDecode,
		slots:       DefaultSlots,
		pieceTokens: 1,
		cache:       newPrefixCache(DefaultCache, DefaultBlock),
		latest:      make(map[string]*generation),
		wake:        make(chan struct{}, 1),
	}
	for _, option := range options {
		option(eng)
	}
	eng.routes()
	eng.serving.Go(func() {
		for eng.awaitWork() {
			eng.advance()
		}
	})
	eng.start()
	return eng
}

// awaitWork reports false once the engine closes.
func (eng *Engine) awaitWork() bool {
	select {
	case <-eng.wake:
		return true
	case <-eng.done:
		return false
	}
}

// advance moves the batch on until it is empty or the engine closes.
func (eng *Engine) advance() {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	last := time.Now()
	for eng.busy() {
		select {
		case <-eng.done:
			return
		case now := <-ticker.C:
			eng.step(now.Sub(last))
			last = now
		}
	}
}

func (eng *Engine) busy() bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return len(eng.waiting)+len(eng.batch) > 0
}

// step spends a span of time on the batch.
func (eng *Engine) step(elapsed time.Duration) {
	seconds := max(elapsed.Seconds(), 0) / eng.Faults().slow()
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.admit()
	budget := float64(eng.prefill) * seconds
	for _, gen := range eng.batch {
		if gen.prefilled {
			gen.decode(float64(eng.decode) * seconds)
			continue
		}
		budget = gen.spend(budget)
		if gen.prefillDone() {
			eng.remember(gen)
		}
	}
	eng.retire()
}

// admit fills free slots in the order of arrival, as engines do: they know no
// priorities, so a queue here would be in nobody's hands.
func (eng *Engine) admit() {
	for len(eng.waiting) > 0 && len(eng.batch) < eng.slots {
		gen := eng.waiting[0]
		eng.waiting = eng.waiting[1:]
		gen.admit(eng.cache.cached(gen.prompt.Prefixes, gen.prompt.PromptTokens))
		eng.batch = append(eng.batch, gen)
	}
}

// remember puts a prompt's blocks into the cache and tells of it.
func (eng *Engine) remember(gen *generation) {
	stored, evicted := eng.cache.store(gen.prompt.Prefixes)
	eng.tried++
	every := eng.Faults().CacheGapEvery
	eng.events.add(time.Now(), stored, evicted, every > 0 && eng.tried%every == 0)
}

// retire takes ended runs out of the batch.
func (eng *Engine) retire() {
	kept := eng.batch[:0]
	for _, gen := range eng.batch {
		if !gen.ended {
			kept = append(kept, gen)
			continue
		}
		eng.close(gen)
	}
	clear(eng.batch[len(kept):])
	eng.batch = kept
}

// close logs how a run ended.
func (eng *Engine) close(gen *generation) {
	eng.runs.finish(gen.entry, func(run *Run) {
		run.Cancelled = gen.cancelled
		run.Pieces = gen.emitted
		run.Prefilled = gen.computed()
		run.Cached = gen.cached
		run.AnswerHash = AnswerHash(gen.id, gen.emitted)
		if gen.cancelled {
			run.Wasted = gen.computed()
		}
	})
}

// take queues a run; from here on it counts as run.
func (eng *Engine) take(id string, fence yuccaid.ConfigNumber, prompt yuccatarget.Prompt) *generation {
	gen := newGeneration(id, prompt, eng.pieceTokens)
	gen.entry = eng.runs.add(Run{ID: id, Operation: generateOperation, Fence: fence})
	eng.mu.Lock()
	eng.latest[id] = gen
	eng.waiting = append(eng.waiting, gen)
	eng.mu.Unlock()
	select {
	case eng.wake <- struct{}{}:
	default:
	}
	return gen
}

// cancel ends a run where it stands; it reports false when there is nothing to end.
func (eng *Engine) cancel(id string) bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	gen := eng.latest[id]
	if gen == nil || gen.ended {
		return false
	}
	gen.cancelled = true
	gen.end()
	for i, waiting := range eng.waiting {
		if waiting == gen {
			eng.waiting = append(eng.waiting[:i:i], eng.waiting[i+1:]...)
			eng.close(gen)
			return true
		}
	}
	eng.retire()
	return true
}
