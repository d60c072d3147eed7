package yuccameasure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccacaller"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccatarget"
)

// RelayPlan says how much is relayed.
type RelayPlan struct {
	// Requests are timed on each way.
	Requests int
	Answer   yuccaid.Tokens
	// Streams are the numbers of streams that are held open at once.
	Streams []int
	// Busy is how many streams run at once for the processor time, and Tokens how many
	// tokens they relay in all.
	Busy   int
	Tokens yuccaid.Tokens
}

// WayRow is how long answers took on one way.
type WayRow struct {
	Way         string  `json:"way"`
	Requests    int     `json:"requests"`
	LoadAverage float64 `json:"loadAverage"`
	FirstMedian float64 `json:"firstMedianMillis"`
	First99     float64 `json:"first99Millis"`
	WholeMedian float64 `json:"wholeMedianMillis"`
	Whole99     float64 `json:"whole99Millis"`
	// The added times are differences of the percentiles, not percentiles of differences.
	AddedFirstMedian float64 `json:"addedFirstMedianMillis"`
	AddedFirst99     float64 `json:"addedFirst99Millis"`
	AddedWholeMedian float64 `json:"addedWholeMedianMillis"`
	AddedWhole99     float64 `json:"addedWhole99Millis"`
}

// way is one way to an answer.
type way struct {
	name         string
	call         func(number int) (streamed, error)
	first, whole latencies
}

// Relay measures the time that a daemon adds, its processor time for what it relays,
// and its memory with streams open.
func Relay(ctx context.Context, programs Programs, plan RelayPlan, text, lines io.Writer) error {
	if err := relayTimes(ctx, programs, plan, text, lines); err != nil {
		return err
	}
	if err := relayProcessor(ctx, programs, plan, text, lines); err != nil {
		return err
	}
	return relayMemory(ctx, programs, plan, text, lines)
}

func relayTimes(ctx context.Context, programs Programs, plan RelayPlan, text, lines io.Writer) error {
	flt, err := startFleet(ctx, programs, shape{centres: 1, daemons: 3, engines: 1, slots: 64, decode: 1000})
	if err != nil {
		return err
	}
	defer flt.close()
	rest(ctx, 3*time.Second)
	leader, other, err := flt.split(ctx)
	if err != nil {
		return err
	}
	ways := flt.ways(ctx, plan, leader, other)
	load := LoadAverage()
	// The ways take turns, so that a busy moment of the machine meets all of them.
	for number := range plan.Requests {
		for index, each := range ways {
			// A prompt that another way has sent would be found in the prefix cache.
			came, err := each.call(number*len(ways) + index)
			if err != nil {
				return eris.Wrap(err, each.name)
			}
			each.first.record(came.first)
			each.whole.record(came.whole)
		}
	}
	var rows []WayRow
	for _, each := range ways {
		rows = append(rows, each.row(ways[0], plan.Requests, load))
	}
	return wayTable(rows).Write(text, lines)
}

// split returns the daemon that leads the pool and one that doesn't.
func (flt *fleet) split(ctx context.Context) (leader, other *daemon, err error) {
	for _, dmn := range flt.daemons {
		var status yuccadaemon.Status
		if err := fetch(ctx, dmn.addresses.Operator, "/v1/status", &status); err != nil {
			return nil, nil, err
		}
		if _, leads := status.Leads[draftPool]; leads {
			leader = dmn
		} else {
			other = dmn
		}
	}
	if leader == nil || other == nil {
		return nil, nil, eris.New("the pool has no leader")
	}
	return leader, other, nil
}

func (flt *fleet) ways(ctx context.Context, plan RelayPlan, leader, other *daemon) []*way {
	caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	opener := yuccacaller.New(secret)
	body := func(number int) []byte {
		raw, _ := json.Marshal(request(number, loadPrompt, plan.Answer))
		return raw
	}
	through := func(dmn *daemon) func(int) (streamed, error) {
		return func(number int) (streamed, error) {
			return timedCall(ctx, caller, dmn.addresses.Caller, "/v1/run", "", body(number))
		}
	}
	return []*way{
		newWay("engine directly", func(number int) (streamed, error) {
			text := prompt(number, loadPrompt)
			raw, _ := json.Marshal(yuccatarget.Prompt{Prompt: text, PromptTokens: yuccaid.Tokens(len(text) / 4), AnswerTokens: plan.Answer})
			return timedCall(ctx, caller, flt.engines[0].address, yuccatarget.GeneratePath, fmt.Sprint("direct-", number), raw)
		}),
		newWay("owner that leads", through(leader)),
		newWay("owner, leader elsewhere", through(other)),
		newWay("forwarder, owner elsewhere", func(number int) (streamed, error) {
			id, err := opener.Open(ctx, other.addresses.Caller)
			if err != nil {
				return streamed{}, err
			}
			return timedCall(ctx, caller, leader.addresses.Caller, "/v1/requests/"+string(id), "", body(number))
		}),
	}
}

func newWay(name string, call func(number int) (streamed, error)) *way {
	return &way{name: name, call: call, first: newLatencies(), whole: newLatencies()}
}

func (each *way) row(direct *way, requests int, load float64) WayRow {
	row := WayRow{
		Way: each.name, Requests: requests, LoadAverage: load,
		FirstMedian: millis(each.first.at(50)), First99: millis(each.first.at(99)),
		WholeMedian: millis(each.whole.at(50)), Whole99: millis(each.whole.at(99)),
	}
	row.AddedFirstMedian = row.FirstMedian - millis(direct.first.at(50))
	row.AddedFirst99 = row.First99 - millis(direct.first.at(99))
	row.AddedWholeMedian = row.WholeMedian - millis(direct.whole.at(50))
	row.AddedWhole99 = row.Whole99 - millis(direct.whole.at(99))
	return row
}

func millis(span time.Duration) float64 {
	return span.Seconds() * 1000
}

// ProcessorRow is what relaying costs one daemon.
type ProcessorRow struct {
	LoadAverage      float64 `json:"loadAverage"`
	Streams          int     `json:"streams"`
	Tokens           int64   `json:"tokens"`
	Seconds          float64 `json:"seconds"`
	IdleCore         float64 `json:"idleCoreShare"`
	MillisPer1000    float64 `json:"processorMillisPer1000Tokens"`
	MillisPerRequest float64 `json:"processorMillisPerRequest"`
}

// relayProcessor relays with short and with long answers: the two unknowns, for each
// request and for each token, follow from both.
func relayProcessor(ctx context.Context, programs Programs, plan RelayPlan, text, lines io.Writer) error {
	flt, err := startFleet(ctx, programs, shape{centres: 1, daemons: 1, engines: 1, slots: plan.Busy, decode: 200})
	if err != nil {
		return err
	}
	defer flt.close()
	idle, err := flt.idleCore(ctx)
	if err != nil {
		return err
	}
	var rows []ProcessorRow
	var lengths, costs []float64
	for _, answer := range []yuccaid.Tokens{10, 50, 200, 800} {
		row, requests, err := flt.relayed(ctx, plan, answer, idle)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		lengths = append(lengths, float64(answer))
		costs = append(costs, row.MillisPer1000*float64(row.Tokens)/1000/float64(requests))
	}
	fit := FitLine("processor ms of a request over its tokens", lengths, costs)
	if err := processorTable(rows).Write(text, lines); err != nil {
		return err
	}
	return fits("relay processor fit", []Fit{fit}).Write(text, lines)
}

func (flt *fleet) idleCore(ctx context.Context) (float64, error) {
	before, err := flt.daemons[0].usage()
	if err != nil {
		return 0, err
	}
	const span = 10 * time.Second
	rest(ctx, span)
	after, err := flt.daemons[0].usage()
	return (after.Processor - before.Processor).Seconds() / span.Seconds(), err
}

func (flt *fleet) relayed(ctx context.Context, plan RelayPlan, answer yuccaid.Tokens, idle float64) (ProcessorRow, int, error) {
	row := ProcessorRow{LoadAverage: LoadAverage(), Streams: plan.Busy, IdleCore: idle}
	requests := max(plan.Busy, int(plan.Tokens/answer)/plan.Busy*plan.Busy)
	before, err := flt.daemons[0].usage()
	if err != nil {
		return row, 0, err
	}
	began := time.Now()
	if err := flt.atOnce(ctx, plan.Busy, requests, answer); err != nil {
		return row, 0, err
	}
	row.Seconds = time.Since(began).Seconds()
	after, err := flt.daemons[0].usage()
	row.Tokens = int64(requests) * int64(answer)
	busy := (after.Processor - before.Processor).Seconds() - idle*row.Seconds
	row.MillisPer1000 = busy * 1000 / (float64(row.Tokens) / 1000)
	row.MillisPerRequest = busy * 1000 / float64(requests)
	return row, requests, err
}

// atOnce keeps so many requests in flight at the first daemon until all have ended.
func (flt *fleet) atOnce(ctx context.Context, streams, requests int, answer yuccaid.Tokens) error {
	caller := yuccacaller.New(secret)
	defer caller.Close()
	numbers := make(chan int, requests)
	for number := range requests {
		numbers <- number
	}
	close(numbers)
	failures := make(chan error, streams)
	var open sync.WaitGroup
	for range streams {
		open.Go(func() {
			for number := range numbers {
				reply, err := caller.Run(ctx, flt.daemons[0].addresses.Caller, request(number, shortPrompt, answer))
				if err == nil && reply.End.Run != "ran" {
					err = eris.Errorf("a request ended as %s, %s", reply.End.Run, reply.End.Reason)
				}
				if err != nil {
					failures <- err
					return
				}
			}
		})
	}
	open.Wait()
	close(failures)
	return <-failures
}

// MemoryRow is a daemon's memory with streams open.
type MemoryRow struct {
	Streams     int     `json:"streams"`
	LoadAverage float64 `json:"loadAverage"`
	Resident    float64 `json:"residentBytes"`
}

// openEvery lets the engine prefill one prompt before the next comes.
const openEvery = 40 * time.Millisecond

// relayMemory opens streams in steps, and reads the memory when all of a step run.
func relayMemory(ctx context.Context, programs Programs, plan RelayPlan, text, lines io.Writer) error {
	flt, err := startFleet(ctx, programs, shape{centres: 1, daemons: 1, engines: 1, slots: 600, decode: 2})
	if err != nil {
		return err
	}
	defer flt.close()
	streaming, stop := context.WithCancel(ctx)
	var open sync.WaitGroup
	defer open.Wait()
	defer stop()
	caller := yuccacaller.New(secret)
	var rows []MemoryRow
	var counts, sizes []float64
	held := 0
	for _, streams := range plan.Streams {
		for ; held < streams; held++ {
			number := held
			open.Go(func() {
				_, _ = caller.Run(streaming, flt.daemons[0].addresses.Caller, request(number, loadPrompt, 1000))
			})
			rest(ctx, openEvery)
		}
		if err := flt.running(ctx, streams); err != nil {
			return err
		}
		rest(ctx, 5*time.Second)
		used, err := flt.daemons[0].usage()
		if err != nil {
			return err
		}
		rows = append(rows, MemoryRow{Streams: streams, LoadAverage: LoadAverage(), Resident: float64(used.Resident)})
		counts, sizes = append(counts, float64(streams)), append(sizes, float64(used.Resident))
	}
	if err := memoryTable(rows).Write(text, lines); err != nil {
		return err
	}
	return fits("relay memory fit", []Fit{FitLine("resident bytes over open streams", counts, sizes)}).Write(text, lines)
}

// running waits until the daemon relays so many streams.
func (flt *fleet) running(ctx context.Context, streams int) error {
	ctx, stop := context.WithTimeout(ctx, settleLimit)
	defer stop()
	for {
		var status yuccadaemon.Status
		if err := fetch(ctx, flt.daemons[0].addresses.Operator, "/v1/status", &status); err != nil {
			return err
		}
		if status.Running[tier] >= streams {
			return nil
		}
		rest(ctx, pollEvery)
	}
}

func wayTable(rows []WayRow) Table[WayRow] {
	return Table[WayRow]{Title: "relay times in ms", Rows: rows, Columns: []Column[WayRow]{
		{"way", func(row WayRow) string { return row.Way }},
		{"requests", func(row WayRow) string { return fmt.Sprint(row.Requests) }},
		{"load", func(row WayRow) string { return tenth(row.LoadAverage) }},
		{"first p50", func(row WayRow) string { return fine(row.FirstMedian) }},
		{"first p99", func(row WayRow) string { return fine(row.First99) }},
		{"whole p50", func(row WayRow) string { return fine(row.WholeMedian) }},
		{"whole p99", func(row WayRow) string { return fine(row.Whole99) }},
		{"+first p50", func(row WayRow) string { return fine(row.AddedFirstMedian) }},
		{"+first p99", func(row WayRow) string { return fine(row.AddedFirst99) }},
		{"+whole p50", func(row WayRow) string { return fine(row.AddedWholeMedian) }},
		{"+whole p99", func(row WayRow) string { return fine(row.AddedWhole99) }},
	}}
}

func processorTable(rows []ProcessorRow) Table[ProcessorRow] {
	return Table[ProcessorRow]{Title: "relay processor time", Rows: rows, Columns: []Column[ProcessorRow]{
		{"load", func(row ProcessorRow) string { return tenth(row.LoadAverage) }},
		{"streams", func(row ProcessorRow) string { return fmt.Sprint(row.Streams) }},
		{"tokens", func(row ProcessorRow) string { return fmt.Sprint(row.Tokens) }},
		{"seconds", func(row ProcessorRow) string { return tenth(row.Seconds) }},
		{"idle core %", func(row ProcessorRow) string { return fine(100 * row.IdleCore) }},
		{"ms/1000 tokens", func(row ProcessorRow) string { return fine(row.MillisPer1000) }},
		{"ms/request", func(row ProcessorRow) string { return fine(row.MillisPerRequest) }},
	}}
}

func memoryTable(rows []MemoryRow) Table[MemoryRow] {
	return Table[MemoryRow]{Title: "relay memory", Rows: rows, Columns: []Column[MemoryRow]{
		{"streams", func(row MemoryRow) string { return fmt.Sprint(row.Streams) }},
		{"load", func(row MemoryRow) string { return tenth(row.LoadAverage) }},
		{"MB", func(row MemoryRow) string { return tenth(row.Resident / 1e6) }},
	}}
}
