package yuccastand

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccatarget"
)

// generation is one run in an engine; the engine's mutex guards it.
type generation struct {
	id          string
	prompt      yuccatarget.Prompt
	pieceTokens yuccaid.Tokens
	pieces      int
	entry       *Run
	connections int

	cached    yuccaid.Tokens
	uncached  float64
	left      float64
	prefilled bool
	decoded   float64
	emitted   int
	ended     bool
	cancelled bool
	changed   chan struct{}

	admitted  time.Time
	firstTime time.Time
	endTime   time.Time
}

func newGeneration(id string, prompt yuccatarget.Prompt, pieceTokens yuccaid.Tokens) *generation {
	return &generation{
		id:          id,
		prompt:      prompt,
		pieceTokens: pieceTokens,
		pieces:      int((prompt.AnswerTokens + pieceTokens - 1) / pieceTokens),
		changed:     make(chan struct{}),
	}
}

// admit begins the prefill of what the cache does not hold.
func (gen *generation) admit(cached yuccaid.Tokens) {
	gen.admitted = time.Now()
	gen.cached = cached
	gen.uncached = float64(gen.prompt.PromptTokens - cached)
	gen.left = gen.uncached
}

// spend prefills and returns what is left of the budget.
func (gen *generation) spend(budget float64) float64 {
	used := min(budget, gen.left)
	gen.left -= used
	return budget - used
}

// prefillDone reports, once, that the prompt is through.
func (gen *generation) prefillDone() bool {
	if gen.left > 0 || gen.prefilled || gen.ended {
		return false
	}
	gen.prefilled = true
	gen.firstTime = time.Now()
	return true
}

// computed returns the prompt tokens that were really computed.
func (gen *generation) computed() yuccaid.Tokens {
	return yuccaid.Tokens(gen.uncached - gen.left)
}

// decode adds tokens to the answer.
func (gen *generation) decode(tokens float64) {
	if gen.ended {
		return
	}
	gen.decoded += tokens
	emitted := min(int(gen.decoded)/int(gen.pieceTokens), gen.pieces)
	if int(gen.decoded) >= int(gen.prompt.AnswerTokens) {
		emitted = gen.pieces
	}
	if emitted > gen.emitted {
		gen.emitted = emitted
		gen.notify()
	}
	if gen.emitted == gen.pieces {
		gen.end()
	}
}

func (gen *generation) end() {
	gen.ended = true
	gen.endTime = time.Now()
	gen.notify()
}

func (gen *generation) notify() {
	close(gen.changed)
	gen.changed = make(chan struct{})
}

// tokens returns how many tokens the piece at a position holds.
func (gen *generation) tokens(position int) yuccaid.Tokens {
	before := yuccaid.Tokens(position) * gen.pieceTokens
	return min(gen.pieceTokens, gen.prompt.AnswerTokens-before)
}

// last returns the end line of the answer.
func (gen *generation) last() yuccatarget.Line {
	line := yuccatarget.Line{
		Cancelled:    gen.cancelled,
		Pieces:       gen.emitted,
		PromptTokens: gen.prompt.PromptTokens,
		CachedTokens: gen.cached,
		AnswerTokens: min(yuccaid.Tokens(gen.emitted)*gen.pieceTokens, gen.prompt.AnswerTokens),
	}
	if gen.prefilled {
		line.PrefillMillis = gen.firstTime.Sub(gen.admitted).Milliseconds()
		line.DecodeMillis = gen.endTime.Sub(gen.firstTime).Milliseconds()
	}
	return line
}
