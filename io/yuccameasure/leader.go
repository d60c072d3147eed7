package yuccameasure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccapool"
)

// LeaderRow is what a pool's leader takes at one size.
type LeaderRow struct {
	Over        string  `json:"over"`
	Targets     int     `json:"targets"`
	Waiting     int     `json:"waiting"`
	Accounts    int     `json:"accounts"`
	LoadAverage float64 `json:"loadAverage"`
	Requests    int     `json:"requests"`
	Micros      float64 `json:"microsPerRequest"`
	MicrosMax   float64 `json:"microsPerRequestMax"`
	Heap        float64 `json:"heapBytes"`
	Configure   float64 `json:"configureMillis"`
}

// leaderSize is how large a pool is.
type leaderSize struct {
	over                       string
	targets, waiting, accounts int
}

func (size leaderSize) of() float64 {
	switch size.over {
	case "targets":
		return float64(size.targets)
	case "waiting":
		return float64(size.waiting)
	}
	return float64(size.accounts)
}

// leaderSizes vary one size at a time around a large pool of the aimed fleet.
func leaderSizes() []leaderSize {
	var all []leaderSize
	for _, targets := range []int{8, 32, 64, 128, 256} {
		all = append(all, leaderSize{"targets", targets, 1000, 100})
	}
	for _, waiting := range []int{0, 500, 1000, 2000, 4000, 8000} {
		all = append(all, leaderSize{"waiting", 32, waiting, 100})
	}
	for _, accounts := range []int{25, 100, 400, 800, 1600} {
		all = append(all, leaderSize{"accounts", 32, 1000, accounts})
	}
	return all
}

const (
	leaderSlots = 8
	// leaderRequests are served for each timing.
	leaderRequests = 2000
)

// leaders measures decisions of a saturated pool: each finished run makes room for one
// that waits, and each arrival joins the queue.
func leaders(plan StatePlan, text, lines io.Writer) error {
	var rows []LeaderRow
	for _, size := range leaderSizes() {
		row, err := leaderOf(plan, size)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	if err := leaderTable(rows).Write(text, lines); err != nil {
		return err
	}
	return fits("pool leader fits", leaderFits(rows)).Write(text, lines)
}

// bench is a leader with the runs that it has granted.
type bench struct {
	leader  *yuccapool.Leader
	size    leaderSize
	now     time.Time
	self    yuccaid.Incarnation
	running []yuccapool.Grant
	number  int
	refused int
}

func leaderOf(plan StatePlan, size leaderSize) (LeaderRow, error) {
	row := LeaderRow{
		Over: size.over, Targets: size.targets, Waiting: size.waiting, Accounts: size.accounts,
		LoadAverage: LoadAverage(), Requests: leaderRequests,
	}
	before := liveHeap()
	bnc := newBench(size)
	view := bnc.view()
	row.Configure, _ = timed(plan.Repeat, func() {
		view.ConfigNumber++
		bnc.take(bnc.leader.Configure(bnc.now, view))
	})
	for range size.targets*leaderSlots + size.waiting {
		bnc.offer()
	}
	row.Heap = liveHeap() - before
	spans, most := timed(plan.Repeat, func() {
		for range leaderRequests {
			bnc.cycle()
		}
	})
	row.Micros, row.MicrosMax = spans*1000/leaderRequests, most*1000/leaderRequests
	runtime.KeepAlive(bnc)
	if bnc.refused > 0 {
		return row, eris.Errorf("%d requests were refused: the size doesn't fit the queue's bounds", bnc.refused)
	}
	return row, nil
}

func newBench(size leaderSize) *bench {
	self := yuccaid.NewIncarnation("entry-1", [16]byte{1})
	bnc := &bench{
		leader: yuccapool.New(draftPool, self, rand.New(rand.NewPCG(1, 2))),
		size:   size, now: time.Unix(0, 0), self: self,
	}
	bnc.take(bnc.leader.Configure(bnc.now, bnc.view()))
	return bnc
}

func (bnc *bench) view() yuccapool.PoolConfig {
	view := yuccapool.PoolConfig{ConfigNumber: 1, LongestRun: time.Hour, Accounts: make(map[yuccaid.Account]yuccapool.AccountConfig)}
	for index := range bnc.size.targets {
		view.Targets = append(view.Targets, yuccapool.Target{
			Name: targetName(index), Slots: leaderSlots, Prefill: 4000, Decode: 50, Cache: 200_000,
		})
	}
	for index := range bnc.size.accounts {
		view.Accounts[accountName(index)] = yuccapool.AccountConfig{Weight: 1}
	}
	return view
}

func (bnc *bench) take(dec yuccapool.Decisions) {
	bnc.running = append(bnc.running, dec.Grants...)
	bnc.refused += len(dec.Refusals)
}

func (bnc *bench) offer() {
	bnc.number++
	prefixes := make([]uint64, 4)
	for index := range prefixes {
		prefixes[index] = uint64(bnc.number*len(prefixes) + index)
	}
	// The text is as long as a signed id.
	id := yuccaid.RequestID(fmt.Sprintf("%s.%x.%x.%032x", bnc.self, bnc.number, bnc.now.UnixMilli(), bnc.number))
	bnc.take(bnc.leader.Submit(bnc.now, yuccapool.Request{
		ID: id, Owner: bnc.self, Account: accountName(bnc.number % bnc.size.accounts), Tier: tier, Rank: 1,
		Pool: draftPool, Operation: "generate", Idempotent: true, Remaining: 24 * time.Hour,
		Prompt: 1024, Answer: 200, Prefixes: prefixes, Centre: centreName(0),
	}))
}

// cycle serves one request: an arrival, and the oldest run's dispatch, first token and
// end, which makes room for the next.
func (bnc *bench) cycle() {
	bnc.now = bnc.now.Add(2 * time.Millisecond)
	bnc.offer()
	if len(bnc.running) == 0 {
		return
	}
	grant := bnc.running[0]
	bnc.running = bnc.running[1:]
	bnc.take(bnc.leader.RunProgressed(bnc.now, yuccapool.Progress{ID: grant.ID}))
	bnc.take(bnc.leader.RunProgressed(bnc.now, yuccapool.Progress{ID: grant.ID, FirstToken: true}))
	bnc.take(bnc.leader.RunFinished(bnc.now, yuccapool.Finished{
		ID: grant.ID, Target: grant.Target, Ran: true, Prompt: 1024, Answer: 200,
		Prefill: 256 * time.Millisecond, Decode: 4 * time.Second,
	}))
}

func leaderTable(rows []LeaderRow) Table[LeaderRow] {
	return Table[LeaderRow]{Title: "pool leader", Rows: rows, Columns: []Column[LeaderRow]{
		{"over", func(row LeaderRow) string { return row.Over }},
		{"targets", func(row LeaderRow) string { return fmt.Sprint(row.Targets) }},
		{"waiting", func(row LeaderRow) string { return fmt.Sprint(row.Waiting) }},
		{"accounts", func(row LeaderRow) string { return fmt.Sprint(row.Accounts) }},
		{"load", func(row LeaderRow) string { return tenth(row.LoadAverage) }},
		{"us/request", func(row LeaderRow) string { return tenth(row.Micros) }},
		{"max", func(row LeaderRow) string { return tenth(row.MicrosMax) }},
		{"heap KB", func(row LeaderRow) string { return tenth(row.Heap / 1000) }},
		{"configure ms", func(row LeaderRow) string { return fine(row.Configure) }},
	}}
}

func leaderFits(rows []LeaderRow) []Fit {
	var all []Fit
	for _, over := range []string{"targets", "waiting", "accounts"} {
		var sizes, micros, heaps, configures []float64
		for _, row := range rows {
			if row.Over == over {
				sizes = append(sizes, leaderSize{row.Over, row.Targets, row.Waiting, row.Accounts}.of())
				micros, heaps = append(micros, row.Micros), append(heaps, row.Heap)
				configures = append(configures, row.Configure)
			}
		}
		all = append(all,
			FitLine("us of a request over "+over, sizes, micros),
			FitLine("heap bytes over "+over, sizes, heaps),
			FitLine("ms to configure over "+over, sizes, configures),
		)
	}
	return all
}

// OwnerRow is what an owner remembers of ended requests.
type OwnerRow struct {
	Held     int     `json:"held"`
	Heap     float64 `json:"heapBytes"`
	BytesPer float64 `json:"bytesPerId"`
	Micros   float64 `json:"microsPerRequest"`
}

// owners measures an owner with more and more ids that have ended and are remembered.
func owners(text, lines io.Writer) error {
	var rows []OwnerRow
	var sizes, heaps []float64
	for _, held := range []int{5000, 10_000, 20_000, 40_000, 80_000} {
		row, err := ownerOf(held)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		sizes, heaps = append(sizes, float64(held)), append(heaps, row.Heap)
	}
	if err := ownerTable(rows).Write(text, lines); err != nil {
		return err
	}
	return fits("owner fit", []Fit{FitLine("heap bytes over held ids", sizes, heaps)}).Write(text, lines)
}

func ownerOf(held int) (OwnerRow, error) {
	self := yuccaid.NewIncarnation("entry-1", [16]byte{1})
	room := yuccaonce.Limits{Total: 2 * held, PerAccount: 2 * held}
	own := yuccaonce.New(self, yuccaid.Key("a key of the fleet"), yuccaonce.WithLimits(room))
	now := time.Unix(0, 0)
	hash := strings.Repeat("0", 64)
	before := liveHeap()
	began := time.Now()
	for range held {
		if err := ownedRequest(own, now, strings.Clone(hash)); err != nil {
			return OwnerRow{}, err
		}
	}
	span := time.Since(began)
	heap := liveHeap() - before
	runtime.KeepAlive(own)
	return OwnerRow{
		Held: held, Heap: heap, BytesPer: heap / float64(held), Micros: span.Seconds() * 1e6 / float64(held),
	}, nil
}

// ownedRequest takes one request from its opening to its outcome.
func ownedRequest(own *yuccaonce.Owner, now time.Time, hash string) error {
	id, err := own.Open(now, account)
	if err != nil {
		return eris.Wrap(err, "opening")
	}
	claim := yuccaonce.Submission{Account: account, Pool: draftPool, Operation: "generate", Tier: tier, Body: "b0d1", Idempotent: true}
	if _, err := own.Submit(now, id, claim); err != nil {
		return eris.Wrap(err, "submitting")
	}
	if err := own.Dispatch(now, id, "engine-1"); err != nil {
		return eris.Wrap(err, "dispatching")
	}
	_, err = own.Finish(now, id, yuccaonce.Result{Run: yuccaonce.Ran, Pieces: 200, Hash: hash})
	return eris.Wrap(err, "finishing")
}

func ownerTable(rows []OwnerRow) Table[OwnerRow] {
	return Table[OwnerRow]{Title: "owner", Rows: rows, Columns: []Column[OwnerRow]{
		{"held ids", func(row OwnerRow) string { return fmt.Sprint(row.Held) }},
		{"heap KB", func(row OwnerRow) string { return tenth(row.Heap / 1000) }},
		{"bytes/id", func(row OwnerRow) string { return tenth(row.BytesPer) }},
		{"us/request", func(row OwnerRow) string { return tenth(row.Micros) }},
	}}
}
