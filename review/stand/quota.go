package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const quotaConfig = `{"version":7,"tenants":[
{"name":"hule930","api_keys":["i9n73hh2b9wu3fexd9dn"],"billing_unit":"tokens","uncached_tokens":200,"rate_per_s":20000,"burst_size":40000},
{"name":"daku118","api_keys":["p2k55ta8c0qe7rvumx4z"]}],
"routes":[
{"name":"r-brief","host":"desk.example","prefix":"/brief/","route_kind":"streaming","timeout_ms":15000,"target_latency_ms":1200,
"gap_target_ms":300,"priority":0,"service":"scribe","max_attempts":2,"session_affinity":true,"stream_resumption":true,"anonymous":false},
{"name":"r-note","host":"desk.example","prefix":"/note/","route_kind":"streaming","timeout_ms":15000,"target_latency_ms":2500,
"gap_target_ms":300,"priority":2,"service":"scribe","max_attempts":2,"session_affinity":true,"stream_resumption":true,"anonymous":false}],
"services":[{"name":"scribe","health_check_path":"/healthz","connection_limit":360,"inference_engine":{"concurrency_slots":6,"kv_cache_tokens":580694}}],
"limits":{"max_header_bytes":32768,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":20000}}`

const (
	limitedKey, freeKey = "i9n73hh2b9wu3fexd9dn", "p2k55ta8c0qe7rvumx4z"
	// quotaWindow and allowedTokens are the rule's window and what it allows within it: (rate x window + burst) x (1 +
	// quota_overshoot) + quota_allowance.
	quotaWindow   = 8 * time.Second
	allowedTokens = (20000*8+40000)*1.25 + 190000
	// promptTokens and answerTokens are the size of each request of the tenant with the quota.
	promptTokens, answerTokens = 3590, 10
	requestTokens              = promptTokens + answerTokens
	// usualPause is the time between two requests of the tenant in its usual load, which is its quota's rate by 1.8. Beyond its usual
	// it sends 7.5 times as often.
	usualPause = 324 * time.Millisecond
	hotPause   = usualPause * 10 / 75
	// usualBriefs is how many long answers the other tenant asks for at once when the traffic starts, briefTokens their size. In a
	// burst it asks for burstBriefs.
	usualBriefs, burstBriefs = 9, 18
	briefTokens              = 220
	// betweenBriefs is the time between two of these requests, quotaTime how long the tenant with the quota sends.
	betweenBriefs = 11 * time.Millisecond
	quotaTime     = 24 * time.Second
)

// sent is a request of the tenant with the quota: when its client sent it, and when a replica began to run it.
type sent struct {
	sentAt, ranAt time.Time
}

// usage is what the tenant with the quota has sent.
type usage struct {
	mu   sync.Mutex
	list map[string]*sent
	// statuses counts the answers.
	statuses map[int]int
}

// most returns the most tokens of requests that were both sent and run within a window, and when that window began.
func (use *usage) most() (tokens int, from time.Time) {
	use.mu.Lock()
	defer use.mu.Unlock()
	for _, first := range use.list {
		sum := 0
		for _, one := range use.list {
			if !one.ranAt.IsZero() && !one.sentAt.Before(first.sentAt) && one.ranAt.Before(first.sentAt.Add(quotaWindow)) {
				sum += requestTokens
			}
		}
		if sum > tokens {
			tokens, from = sum, first.sentAt
		}
	}
	return tokens, from
}

// playQuota has more users come at once than the replicas have places for, so that requests of a tenant, which sends many times its usual,
// wait and are refused.
func playQuota(rec *record, trouble bool) (broken []string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	flt, err := startFleet(rec, quotaConfig, 3)
	if err != nil {
		return nil, err
	}
	defer flt.close()
	use := &usage{list: make(map[string]*sent), statuses: make(map[int]int)}
	flt.onRun = func(id string) {
		use.mu.Lock()
		defer use.mu.Unlock()
		if one := use.list[id]; one != nil {
			one.ranAt = time.Now()
		}
	}
	for index := range 3 {
		if _, err := flt.startReplica(fmt.Sprintf("i-%d", index), "scribe", "v1", zones[index%3]); err != nil {
			return nil, err
		}
	}
	if err := flt.startDaemons(ctx, true); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	other := flows{flt: flt, ctx: ctx, group: &group, name: "f", path: "/brief/1", key: freeKey, prompt: 3000, answer: briefTokens}
	tenant := flows{flt: flt, ctx: ctx, group: &group, use: use, name: "t", path: "/note/1", key: limitedKey, prompt: promptTokens, answer: answerTokens}
	briefs, pause := usualBriefs, usualPause
	if trouble {
		briefs, pause = burstBriefs, hotPause
	}
	for range briefs {
		other.send()
		time.Sleep(betweenBriefs)
	}
	tenant.run(quotaTime, pause)
	group.Wait()
	tokens, from := use.most()
	use.mu.Lock()
	rec.add("the tenant's answers by status: %v", use.statuses)
	use.mu.Unlock()
	rec.add("most in a window: %d tokens from %.3f s, allowed %d", tokens, from.Sub(rec.start).Seconds(), int(allowedTokens))
	if tokens > allowedTokens {
		broken = append(broken, fmt.Sprintf("%d tokens of a tenant were sent and run within 8 s, allowed %d", tokens, int(allowedTokens)))
	}
	return broken, nil
}

// flows are requests of one tenant.
type flows struct {
	flt            *fleet
	ctx            context.Context
	group          *sync.WaitGroup
	use            *usage
	name           string
	path, key      string
	prompt, answer int
	count          int
}

// run has clients send requests for a time, with a pause between them.
func (flw *flows) run(span, pause time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(pause) {
		flw.send()
	}
}

// send has a client send a request. If it is refused it tries once more, when it was told to.
func (flw *flows) send() {
	flw.count++
	number := flw.count
	flw.group.Go(func() {
		for attempt := range 2 {
			status, back := flw.ask(flw.flt.daemons[(number+attempt)%3], fmt.Sprintf("%s%04d%d", flw.name, number, attempt))
			if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
				return
			}
			time.Sleep(min(back, requestTimeout/3))
		}
	})
}

// ask sends a request and reads its answer.
func (flw *flows) ask(dmn *daemon, id string) (status int, back time.Duration) {
	flt, use := flw.flt, flw.use
	ctx, cancel := context.WithTimeout(flw.ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dmn.callers+flw.path, strings.NewReader("a transcript"))
	if err != nil {
		return 0, 0
	}
	req.Host = "desk.example"
	req.Header.Set("Yuccacleat-Attempt-Id", id)
	req.Header.Set("Yuccacleat-Model-Name", "m")
	req.Header.Set("Yuccacleat-Token-Counts", fmt.Sprintf("%d,%d", flw.prompt, flw.answer))
	req.Header.Set("Yuccacleat-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%x:%d", id, flw.prompt-60))
	req.Header.Set("Yuccacleat-Key", flw.key)
	req.Header.Set("Yuccacleat-Deadline-Remaining", "15000")
	if use != nil {
		use.mu.Lock()
		use.list[id] = &sent{sentAt: time.Now()}
		use.mu.Unlock()
	}
	flt.record.add("client sends %s to %s: %d tokens", id, dmn.name, flw.prompt+flw.answer)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		flt.record.add("client got %v for %s", err, id)
		return 0, 0
	}
	defer resp.Body.Close()
	buf := make([]byte, 4096)
	for err == nil {
		_, err = resp.Body.Read(buf)
	}
	flt.record.add("client got %d for %s, retry after %q", resp.StatusCode, id, resp.Header.Get("Retry-After"))
	if use != nil {
		use.mu.Lock()
		use.statuses[resp.StatusCode]++
		use.mu.Unlock()
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}
