package yuccaplace

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// TargetState is what the fleet believes of one target.
type TargetState struct {
	Target Target

	sharing    *sharing
	runs       []*Run
	prefilling []*Run
	backlog    yuccaid.Tokens
	longs      int
	headSince  time.Time
	prefill    speed
	decode     speed
	call       speed
	cache      record
	trust      float64
	leaving    bool
	leftAt     time.Time
	probing    bool
	// failing says that the target showed no progress or could not be reached, and not
	// only that it was slow.
	failing    bool
	probeAt    time.Time
	probePause time.Duration
	newsAt     time.Time
	foreign    int
	foreignTil time.Time
	peak       peak
	meter      meter

	stamp uint64
	hit   yuccaid.Tokens
}

func newNode(tgt Target, shr *sharing) *TargetState {
	node := &TargetState{Target: tgt, sharing: shr, cache: newRecord(tgt.Cache), trust: 1}
	node.guess(tgt)
	return node
}

func (node *TargetState) guess(tgt Target) {
	node.prefill = newSpeed(orElse(float64(tgt.Prefill), guessPrefill))
	node.decode = newSpeed(orElse(float64(tgt.Decode), guessDecode))
	node.call = newSpeed(1 / guessCall.Seconds())
}

func orElse(value, other float64) float64 {
	if value <= 0 {
		return other
	}
	return value
}

// Running returns how many granted requests the target holds.
func (node *TargetState) Running() int {
	return len(node.runs)
}

// Leaving reports whether the target takes no new work.
func (node *TargetState) Leaving() bool {
	return node.Target.Leaving || node.leaving
}

// busy counts what occupies slots: granted requests and, while a fresh load report
// shows them, those of others, such as a second leader during a partition.
func (node *TargetState) busy(now time.Time) int {
	if now.Before(node.foreignTil) {
		return len(node.runs) + node.foreign
	}
	return len(node.runs)
}

// prefillWait is how long the prompts that are already there will keep the target.
func (node *TargetState) prefillWait(now time.Time) time.Duration {
	if len(node.prefilling) == 0 {
		return 0
	}
	head := node.prefilling[0].uncached()
	left := node.prefillTime(head) - now.Sub(node.headSince)
	return max(left, 0) + node.prefillTime(node.backlog-head)
}

// prefillTime is how long a prompt takes beside the answers that are decoded now.
//
// Made for engines that batch continuously: their time is shared between one prompt
// and all answers, so a prompt gets S/(S+n) of it while n of S slots decode.
func (node *TargetState) prefillTime(tokens yuccaid.Tokens) time.Duration {
	return node.prefillBeside(tokens, float64(node.decoding()))
}

func (node *TargetState) prefillBeside(tokens yuccaid.Tokens, answers float64) time.Duration {
	return seconds(float64(tokens) / (node.prefill.recent * node.promptPart(answers)))
}

// decodeTime is how long an answer takes in the company of others, if prompts keep the
// target as busy as they did lately.
func (node *TargetState) decodeTime(tokens, company float64) time.Duration {
	return node.decodeBeside(tokens, company, node.meter.promptsTo(meterRanks))
}

// decodeBeside is decodeTime where prompts take a part of the time.
func (node *TargetState) decodeBeside(tokens, company, prompts float64) time.Duration {
	rate := node.decode.recent * node.answerPart(company, prompts) / node.crowding(company)
	return seconds(tokens / rate)
}

func (node *TargetState) decoding() int {
	return len(node.runs) - len(node.prefilling)
}

func (node *TargetState) slots() float64 {
	return float64(max(node.Target.Slots, 1))
}

// promptPart is the part of the target's time that a prompt gets beside n answers.
func (node *TargetState) promptPart(n float64) float64 {
	return node.slots() / (node.slots() + n*node.sharing.prompts)
}

// answerPart is the part that answers get when a prompt is there for a part of the time.
func (node *TargetState) answerPart(n, prompts float64) float64 {
	return 1 - min(node.sharing.prompts*node.lost(n, prompts), mostLost)
}

// lost is the part of the time that prompts would take at equal shares.
func (node *TargetState) lost(n, prompts float64) float64 {
	return min(prompts, 1) * node.slots() / (node.slots() + n)
}

// crowding is how many times longer a token takes with n other answers than alone.
func (node *TargetState) crowding(n float64) float64 {
	return 1 + node.sharing.crowding*n/node.slots()
}

func seconds(sec float64) time.Duration {
	return time.Duration(sec * float64(time.Second))
}

func (node *TargetState) begin(now time.Time, run *Run) {
	node.meter.advance(now, node)
	run.atBegin = node.meter.reading
	run.node = node
	run.StartedAt = now
	node.runs = append(node.runs, run)
	if len(node.prefilling) == 0 {
		node.headSince = now
	}
	node.prefilling = append(node.prefilling, run)
	node.backlog += run.uncached()
	if run.LongPrompt {
		node.longs++
	}
	node.peak.note(now, len(node.runs))
}

// prefilled takes a run out of the prompts that wait or are worked on.
func (node *TargetState) prefilled(now time.Time, run *Run) {
	at := slices.Index(node.prefilling, run)
	if at < 0 {
		return
	}
	node.meter.advance(now, node)
	run.atFirst = node.meter.reading
	node.prefilling = slices.Delete(node.prefilling, at, at+1)
	node.backlog -= run.uncached()
	if at == 0 {
		node.headSince = now
	}
	if run.LongPrompt {
		node.longs--
	}
}

func (node *TargetState) end(now time.Time, run *Run) {
	node.prefilled(now, run)
	at := slices.Index(node.runs, run)
	if at < 0 {
		return
	}
	node.meter.advance(now, node)
	last := len(node.runs) - 1
	node.runs[at] = node.runs[last]
	node.runs[last] = nil
	node.runs = node.runs[:last]
}

// overdue returns how much longer the oldest prompt has taken than the target's own
// rate explains; zero while it is within bounds.
//
// A stalled target finishes nothing, so nothing that finishes would ever tell of it.
func (node *TargetState) overdue(now time.Time, plain bool) float64 {
	if len(node.prefilling) == 0 {
		return 0
	}
	expected := node.prefillTime(node.prefilling[0].uncached())
	if plain {
		expected = seconds(1 / node.call.recent)
	}
	elapsed := now.Sub(node.headSince)
	if elapsed < time.Duration(overdueRatio*float64(expected))+overdueSlack {
		return 0
	}
	return float64(elapsed) / float64(max(expected, time.Millisecond))
}

// startProbing leaves the target to probes. The pause between them grows when one has
// failed, not when a run that began before the first ends late.
func (node *TargetState) startProbing(now time.Time) {
	if node.probing && now.Before(node.probeAt) {
		return
	}
	node.probePause = min(2*node.probePause, probeLast)
	if !node.probing {
		node.probing = true
		node.probePause = probeFirst
	}
	node.probeAt = now.Add(node.probePause)
}

func (node *TargetState) waste(now time.Time, run *Run) yuccaid.Tokens {
	if !run.Prefilling() {
		return run.uncached()
	}
	if len(node.prefilling) == 0 || node.prefilling[0] != run {
		return 0
	}
	done := yuccaid.Tokens(now.Sub(node.headSince).Seconds() * node.prefill.recent)
	return min(done, run.uncached())
}

// peak is the largest number of runs over the last one to two periods. A load report
// is compared with it: its count is old, and requests that have ended since then must
// not pass for the work of others.
type peak struct {
	since         time.Time
	now, previous int
}

func (pk *peak) note(now time.Time, running int) {
	if now.Sub(pk.since) > foreignLife {
		pk.previous, pk.now, pk.since = pk.now, 0, now
	}
	pk.now = max(pk.now, running)
}

func (pk *peak) value() int {
	return max(pk.now, pk.previous)
}
