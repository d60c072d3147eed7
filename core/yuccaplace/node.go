package yuccaplace

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// TargetState is the leader's view of one target: its configuration, granted runs,
// learned rates, cache model and health.
type TargetState struct {
	Target Target

	interference      *interference
	runs              []*Run
	prefilling        []*Run         // runs without a first token, in order of arrival
	queuedPrefill     yuccaid.Tokens // uncached prompt tokens of the runs in prefilling
	longPrompts       int            // number of long prompts in prefilling
	headStartedAt     time.Time      // when prefilling[0] became the first one
	prefill           rateEstimate   // prompt tokens per second
	decode            rateEstimate   // tokens of one answer per second
	call              rateEstimate   // calls per second, of a plain service
	cache             cacheModel
	cacheTrust        float64 // expected share of the modelled hits that are real, from 0 to 1
	leaving           bool
	leavingReportedAt time.Time // time of the report that set leaving
	probing           bool
	// failing means that the target showed no progress or failed a request, rather than
	// being merely slow.
	failing       bool
	probeAt       time.Time // earliest time of the next probe
	probeInterval time.Duration
	observedAt    time.Time // time of the last observation, or of the last fadeRates step
	foreignRuns   int       // runs of other leaders, until foreignUntil
	foreignUntil  time.Time
	runPeak       runPeak
	meter         meter

	generation uint64         // Placer.generation in which heldPrefix was set
	heldPrefix yuccaid.Tokens // prompt tokens held in the cache, of the request handled in that generation
}

func newTargetState(target Target, model *interference) *TargetState {
	state := &TargetState{Target: target, interference: model, cache: newCacheModel(target.Cache), cacheTrust: 1}
	state.resetRates(target)
	return state
}

func (state *TargetState) resetRates(target Target) {
	state.prefill = newRateEstimate(positiveOr(float64(target.Prefill), defaultPrefillRate))
	state.decode = newRateEstimate(positiveOr(float64(target.Decode), defaultDecodeRate))
	state.call = newRateEstimate(1 / defaultCallTime.Seconds())
}

func positiveOr(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}

// Running returns how many granted requests the target holds.
func (state *TargetState) Running() int {
	return len(state.runs)
}

// Leaving reports whether the target takes no new work.
func (state *TargetState) Leaving() bool {
	return state.Target.Leaving || state.leaving
}

// occupied returns how many requests occupy slots: the requests that this leader
// granted and, until the load report that showed them expires, the requests of other
// leaders, such as a second leader during a partition.
func (state *TargetState) occupied(now time.Time) int {
	if now.Before(state.foreignUntil) {
		return len(state.runs) + state.foreignRuns
	}
	return len(state.runs)
}

// prefillWait returns the estimated time until the target has processed the prompts of
// its present runs.
func (state *TargetState) prefillWait(now time.Time) time.Duration {
	if len(state.prefilling) == 0 {
		return 0
	}
	head := state.prefilling[0].uncached()
	headLeft := state.prefillTime(head) - now.Sub(state.headStartedAt)
	return max(headLeft, 0) + state.prefillTime(state.queuedPrefill-head)
}

// prefillTime returns the estimated prefill time of a prompt beside the answers that
// are decoded now.
//
// It models engines that batch continuously. Such an engine divides its time between
// one prompt and all answers: while n of its S slots decode, a prompt gets S/(S+f*n) of
// the time, where f is the promptFactor of the interference model.
func (state *TargetState) prefillTime(tokens yuccaid.Tokens) time.Duration {
	return state.prefillTimeBeside(tokens, float64(state.decoding()))
}

// prefillTimeBeside is prefillTime beside the given number of answers.
func (state *TargetState) prefillTimeBeside(tokens yuccaid.Tokens, answers float64) time.Duration {
	return seconds(float64(tokens) / (state.prefill.recent * state.prefillShare(answers)))
}

// decodeTime returns the estimated decoding time of the given number of answer tokens
// beside the given number of other answers, if prompts keep the target as busy as
// recently.
func (state *TargetState) decodeTime(tokens, others float64) time.Duration {
	return state.decodeTimeBeside(tokens, others, state.meter.promptShareUpTo(trackedRanks))
}

// decodeTimeBeside is decodeTime with a given share of the time taken by prompts.
func (state *TargetState) decodeTimeBeside(tokens, others, promptShare float64) time.Duration {
	rate := state.decode.recent * state.decodeShare(others, promptShare) / state.crowdingFactor(others)
	return seconds(tokens / rate)
}

// decoding returns the number of runs whose answers are decoded now.
func (state *TargetState) decoding() int {
	return len(state.runs) - len(state.prefilling)
}

func (state *TargetState) slots() float64 {
	return float64(max(state.Target.Slots, 1))
}

// prefillShare returns the share of the target's time that a prompt gets beside n
// answers.
func (state *TargetState) prefillShare(n float64) float64 {
	return state.slots() / (state.slots() + n*state.interference.promptFactor)
}

// decodeShare returns the share of the target's time that n answers get when a prompt
// is present for the given share of the time.
func (state *TargetState) decodeShare(n, promptShare float64) float64 {
	return 1 - min(state.interference.promptFactor*state.promptLoss(n, promptShare), maxPromptLoss)
}

// promptLoss returns the share of the time that prompts would take from n answers if
// the target divided its time equally.
func (state *TargetState) promptLoss(n, promptShare float64) float64 {
	return min(promptShare, 1) * state.slots() / (state.slots() + n)
}

// crowdingFactor returns how many times longer a token takes beside n other answers
// than alone.
func (state *TargetState) crowdingFactor(n float64) float64 {
	return 1 + state.interference.crowding*n/state.slots()
}

// seconds converts a number of seconds to a Duration.
func seconds(sec float64) time.Duration {
	return time.Duration(sec * float64(time.Second))
}

func (state *TargetState) startRun(now time.Time, run *Run) {
	state.meter.advance(now, state)
	run.meterAtStart = state.meter.meterReading
	run.state = state
	run.StartedAt = now
	state.runs = append(state.runs, run)
	if len(state.prefilling) == 0 {
		state.headStartedAt = now
	}
	state.prefilling = append(state.prefilling, run)
	state.queuedPrefill += run.uncached()
	if run.LongPrompt {
		state.longPrompts++
	}
	state.runPeak.add(now, len(state.runs))
}

// endPrefill removes a run from the runs in prefilling, if it is one of them.
func (state *TargetState) endPrefill(now time.Time, run *Run) {
	at := slices.Index(state.prefilling, run)
	if at < 0 {
		return
	}
	state.meter.advance(now, state)
	run.meterAtFirstToken = state.meter.meterReading
	state.prefilling = slices.Delete(state.prefilling, at, at+1)
	state.queuedPrefill -= run.uncached()
	if at == 0 {
		state.headStartedAt = now
	}
	if run.LongPrompt {
		state.longPrompts--
	}
}

func (state *TargetState) releaseRun(now time.Time, run *Run) {
	state.endPrefill(now, run)
	at := slices.Index(state.runs, run)
	if at < 0 {
		return
	}
	state.meter.advance(now, state)
	last := len(state.runs) - 1
	state.runs[at] = state.runs[last]
	state.runs[last] = nil
	state.runs = state.runs[:last]
}

// stallRatio returns how many times longer the oldest prompt has taken than the
// target's own rate predicts, or zero while that is within bounds.
//
// A stalled target finishes no run, so no measurement of a finished run would show the
// stall.
func (state *TargetState) stallRatio(now time.Time, plainService bool) float64 {
	if len(state.prefilling) == 0 {
		return 0
	}
	expected := state.prefillTime(state.prefilling[0].uncached())
	if plainService {
		expected = seconds(1 / state.call.recent)
	}
	elapsed := now.Sub(state.headStartedAt)
	if elapsed < time.Duration(stallFactor*float64(expected))+stallSlack {
		return 0
	}
	return float64(elapsed) / float64(max(expected, time.Millisecond))
}

// startProbing restricts the target to probes. If the target is restricted already and
// its next probe was due, a probe has failed, and the interval between probes doubles.
// If the next probe isn't due yet, the call changes nothing, because the cause may be a
// run that was started before the first probe and finishes late.
func (state *TargetState) startProbing(now time.Time) {
	if state.probing && now.Before(state.probeAt) {
		return
	}
	state.probeInterval = min(2*state.probeInterval, maxProbeInterval)
	if !state.probing {
		state.probing = true
		state.probeInterval = minProbeInterval
	}
	state.probeAt = now.Add(state.probeInterval)
}

// wastedPrefill returns how many prompt tokens the target has computed for the run;
// that work is lost if the run is cancelled.
func (state *TargetState) wastedPrefill(now time.Time, run *Run) yuccaid.Tokens {
	if !run.Prefilling() {
		return run.uncached()
	}
	if len(state.prefilling) == 0 || state.prefilling[0] != run {
		return 0
	}
	done := yuccaid.Tokens(now.Sub(state.headStartedAt).Seconds() * state.prefill.recent)
	return min(done, run.uncached())
}

// runPeak is the largest number of runs over the last one to two periods of
// loadReportLifetime. Load reports are compared with it because their counts are old:
// requests of this leader that have finished since the report was made must not be
// taken for requests of other leaders.
type runPeak struct {
	since             time.Time
	current, previous int
}

func (pk *runPeak) add(now time.Time, running int) {
	if now.Sub(pk.since) > loadReportLifetime {
		pk.previous, pk.current, pk.since = pk.current, 0, now
	}
	pk.current = max(pk.current, running)
}

func (pk *runPeak) value() int {
	return max(pk.current, pk.previous)
}
