package yuccademo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccacaller"
	"yuccacleat/io/yuccadaemon"
)

const (
	daemons    = 3
	settleTime = 10 * time.Second
	wholeTime  = 18 * time.Second
)

// Report is what the demo found.
type Report struct {
	Requests   int
	Goodput    map[yuccaid.Tier]int
	Sent       map[yuccaid.Tier]int
	Wasted     yuccaid.Tokens
	Mismatches []string
}

// sample is one request of the demo.
type sample struct {
	request yuccadaemon.Request
	opener  int
	taker   int
}

// told is what the caller of a sample was told.
type told struct {
	sample  sample
	id      yuccaid.RequestID
	run     yuccaonce.Run
	partial bool
	after   time.Duration
	detail  string
}

// Run starts the fleet, sends the samples and prints what happened to each.
func Run(ctx context.Context, out io.Writer) (*Report, error) {
	ctx, stop := context.WithTimeout(ctx, wholeTime)
	defer stop()
	fmt.Fprintf(out, "starting %d daemons, %d engines of unlike speed and a plain service on loopback\n", daemons, len(engineSpecs))
	fl, err := newFleet(daemons)
	if fl != nil {
		defer fl.close()
	}
	if err != nil {
		return nil, err
	}
	settling, settled := context.WithTimeout(ctx, settleTime)
	defer settled()
	if err := fl.settle(settling); err != nil {
		return nil, err
	}
	fmt.Fprintln(out, "release note 1 is in force on all daemons")
	results := fl.send(ctx, samples())
	report := fl.judge(results)
	print(out, results, report)
	return report, nil
}

// samples mix tiers, lengths and operations; some are submitted through another
// daemon than the one that opened them.
func samples() []sample {
	rulebook := strings.Repeat("All riders shall carry lamps. ", 300)
	var list []sample
	add := func(pool yuccaid.Pool, operation yuccaid.Operation, tier yuccaid.Tier, prompt string, tokens yuccaid.Tokens, deadline time.Duration) {
		index := len(list)
		list = append(list, sample{
			request: yuccadaemon.Request{
				Pool: pool, Operation: operation, Tier: tier, Prompt: prompt, AnswerTokens: tokens,
				DeadlineMillis: deadline.Milliseconds(),
			},
			opener: index % daemons,
			taker:  (index + index/daemons) % daemons,
		})
	}
	for i := range 8 {
		add("draft", "generate", "bulk", fmt.Sprintf("%s Write follow-up letter %d.", rulebook, i), 300, 12*time.Second)
		add("draft", "generate", "normal", fmt.Sprintf("%s Summarize section %d.", rulebook, i), 120, 10*time.Second)
		add("draft", "generate", "urgent", fmt.Sprintf("Caller %d smells gas near Elm Street.", i), 60, 5*time.Second)
		add("desk", "lookup", "normal", fmt.Sprintf("register entry %d", i), 0, 5*time.Second)
	}
	for i := range 4 {
		add("desk", "file-ticket", "urgent", fmt.Sprintf("smell at %d Elm Street", i), 0, 5*time.Second)
	}
	return list
}

func (fl *fleet) send(ctx context.Context, list []sample) []told {
	results := make([]told, len(list))
	client := yuccacaller.New(deskSecret)
	defer client.Close()
	var waiting sync.WaitGroup
	for i, each := range list {
		waiting.Go(func() { results[i] = fl.sendOne(ctx, client, each) })
	}
	waiting.Wait()
	return results
}

func (fl *fleet) sendOne(ctx context.Context, client *yuccacaller.Client, each sample) told {
	start := time.Now()
	result := told{sample: each, run: yuccaonce.NotRun}
	id, err := client.Open(ctx, fl.daemons[each.opener].Addresses.Caller)
	if err != nil {
		result.detail = err.Error()
		return result
	}
	result.id = id
	answer, err := client.Submit(ctx, fl.daemons[each.taker].Addresses.Caller, id, each.request)
	result.after = time.Since(start)
	var refused *yuccacaller.RefusedError
	switch {
	case errors.As(err, &refused):
		result.run = refused.Run
		result.detail = string(refused.Reason)
	case err != nil:
		result.run = yuccaonce.Unknown
		result.detail = err.Error()
	default:
		result.run = answer.End.Run
		result.partial = answer.End.Partial
		result.detail = string(answer.End.Reason)
	}
	return result
}

// judge compares every outcome with the stand-ins' own logs.
func (fl *fleet) judge(results []told) *Report {
	report := &Report{Requests: len(results), Goodput: make(map[yuccaid.Tier]int), Sent: make(map[yuccaid.Tier]int)}
	ran := fl.runs()
	for _, result := range results {
		tier := result.sample.request.Tier
		report.Sent[tier]++
		onTime := result.after.Milliseconds() <= result.sample.request.DeadlineMillis
		if result.run == yuccaonce.Ran && !result.partial && onTime {
			report.Goodput[tier]++
		}
		if problem := mismatch(result, ran[result.id]); problem != "" {
			report.Mismatches = append(report.Mismatches, string(result.id)+": "+problem)
		}
	}
	for _, engine := range fl.engines {
		for _, run := range engine.Runs() {
			report.Wasted += run.Wasted
		}
	}
	return report
}

func mismatch(result told, runs int) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case runs == 1 && result.run == yuccaonce.NotRun:
		return "ran, but its caller was told notRun"
	case runs == 0 && result.run == yuccaonce.Ran:
		return "did not run, but its caller was told it had"
	}
	return ""
}

func print(out io.Writer, results []told, report *Report) {
	for _, result := range results {
		request := result.sample.request
		fmt.Fprintf(out, "%-7s %-5s %-11s opened at entry-%d, submitted at entry-%d: %s %s after %d ms\n",
			request.Tier, request.Pool, request.Operation, result.sample.opener+1, result.sample.taker+1,
			result.run, result.detail, result.after.Milliseconds())
	}
	fmt.Fprintln(out, "goodput (whole answers within their deadline):")
	for _, tier := range []yuccaid.Tier{"urgent", "normal", "bulk"} {
		fmt.Fprintf(out, "  %-7s %d of %d\n", tier, report.Goodput[tier], report.Sent[tier])
	}
	fmt.Fprintf(out, "wasted prefill: %d tokens\n", report.Wasted)
	for _, problem := range slices.Sorted(slices.Values(report.Mismatches)) {
		fmt.Fprintln(out, "MISMATCH", problem)
	}
	if len(report.Mismatches) == 0 {
		fmt.Fprintf(out, "all %d outcomes agree with what the stand-ins really ran\n", report.Requests)
	}
}
