package yuccatrial

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
)

// bench is one engine whose answers are noted as they end.
func bench() (*Engine, *trial) {
	tri := &trial{agenda: &agenda{now: epoch}, scenario: &Scenario{}}
	pool := &Pool{agenda: tri.agenda, trial: tri, blocks: blockBook{}}
	eng := &Engine{
		Slots: 4, Prefill: 1000, Decode: 10, batching: 1, speed: 1, pool: pool, advanced: epoch,
		cache: newPrefixCache(100),
	}
	pool.Engines = []*Engine{eng}
	tri.pools = []*Pool{pool}
	return eng, tri
}

func (eng *Engine) ask(prompt, answer yuccaid.Tokens, prefixes ...uint64) *Request {
	return &Request{
		Prompt: prompt, Answer: answer, Prefixes: prefixes, Idempotent: true,
		Arrived: epoch, Deadline: epoch.Add(time.Hour), home: eng.pool, engine: eng,
	}
}

func took(req *Request) time.Duration {
	return req.ended.Sub(epoch).Round(10 * time.Millisecond)
}

func TestEngineTimes(t *testing.T) {
	for _, one := range []struct {
		name    string
		first   *Request
		other   *Request
		expect  time.Duration
		another time.Duration
	}{
		{name: "alone", first: &Request{Prompt: 1000, Answer: 20}, expect: 3 * time.Second},
		{
			// Both prompts take a second, the second one shares it with an answer: 0.8 of the
			// engine's time for 1.25 s. Of the first answer 2.5 tokens are done by then. Two
			// answers slow each other by a quarter.
			name: "together", first: &Request{Prompt: 1000, Answer: 20}, other: &Request{Prompt: 1000, Answer: 30},
			expect: 4440 * time.Millisecond, another: 5690 * time.Millisecond,
		},
		{
			name: "with a cached prefix", first: &Request{Prompt: 512, Answer: 20, Prefixes: []uint64{1, 2}},
			other: &Request{Prompt: 512, Answer: 20, Prefixes: []uint64{1, 2}}, expect: 3010 * time.Millisecond, another: 3010 * time.Millisecond,
		},
	} {
		eng, tri := bench()
		first := eng.ask(one.first.Prompt, one.first.Answer, one.first.Prefixes...)
		eng.submit(first)
		var other *Request
		if one.other != nil {
			other = eng.ask(one.other.Prompt, one.other.Answer, one.other.Prefixes...)
			eng.submit(other)
		}
		tri.agenda.run(epoch.Add(time.Minute))
		if took(first) != one.expect {
			t.Errorf("%s: took %s, want %s", one.name, took(first), one.expect)
		}
		if other != nil && took(other) != one.another {
			t.Errorf("%s: the other took %s, want %s", one.name, took(other), one.another)
		}
	}
}

// An engine that lost or invented work would make every figure of the trial wrong.
func TestEngineServesAllItTakes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eng, tri := bench()
		length := rapid.IntRange(1, 3000)
		var kept []*Request
		work := 0.0
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			req := eng.ask(yuccaid.Tokens(length.Draw(t, "prompt")), yuccaid.Tokens(length.Draw(t, "answer")/10+1))
			eng.submit(req)
			if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
				tri.stop(req, preempted)
			} else {
				kept = append(kept, req)
				work += eng.leastWork(req)
			}
		}
		tri.agenda.run(epoch.Add(time.Hour))
		last := time.Duration(0)
		for _, req := range kept {
			if req.fate != served {
				t.Fatalf("fate %d", req.fate)
			}
			last = max(last, took(req))
		}
		if last.Seconds()+0.01 < work {
			t.Fatalf("work of %.2f s was done in %s, so the bound is none", work, last)
		}
		if len(eng.running)+len(eng.queue)+eng.decoding != 0 {
			t.Fatal("the engine is not empty")
		}
	})
}
