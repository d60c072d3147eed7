package yuccameasure

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

// StatePlan says how often each step is timed.
type StatePlan struct {
	Repeat int
}

// StateRow is what a configuration of one size takes in one process.
type StateRow struct {
	Accounts    int     `json:"accounts"`
	Targets     int     `json:"targets"`
	Models      int     `json:"models"`
	LoadAverage float64 `json:"loadAverage"`
	// FirstNotes are the notes, each under a megabyte, that build the configuration.
	FirstNotes    int     `json:"firstNotes"`
	FirstBytes    int     `json:"firstNotesBytes"`
	FirstMillis   float64 `json:"firstNotesMillis"`
	NoteMillis    float64 `json:"noteMillis"`
	NoteMax       float64 `json:"noteMaxMillis"`
	DigestMillis  float64 `json:"digestMillis"`
	Parts         int     `json:"baselineParts"`
	LargestPart   int     `json:"largestPartBytes"`
	BaseMillis    float64 `json:"baselineMillis"`
	JoinMillis    float64 `json:"joinMillis"`
	EncodedBytes  int     `json:"encodedBytes"`
	EncodeMillis  float64 `json:"encodeMillis"`
	DecodeMillis  float64 `json:"decodeMillis"`
	HeapBytes     float64 `json:"heapBytes"`
	AccountMicros float64 `json:"accountOfMicros"`
}

// scale is one size of a configuration.
type scale struct {
	accounts, targets, models int
}

// scales end with the aimed size.
func scales() []scale {
	return []scale{{100, 112, 1}, {200, 225, 2}, {400, 450, 4}, {800, 900, 8}, {1600, 1800, 17}}
}

// State measures the configuration, pool leaders and owners in this process.
func State(plan StatePlan, text, lines io.Writer) error {
	var rows []StateRow
	for _, size := range scales() {
		row, err := stateOf(plan, size)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	if err := stateTable(rows).Write(text, lines); err != nil {
		return err
	}
	if err := fits("state fits over accounts and targets", stateFits(rows)).Write(text, lines); err != nil {
		return err
	}
	if err := leaders(plan, text, lines); err != nil {
		return err
	}
	return owners(text, lines)
}

// timed returns the median and the largest of the times that work took.
func timed(repeat int, work func()) (median, most float64) {
	spans := make([]float64, 0, repeat)
	for range max(1, repeat) {
		began := time.Now()
		work()
		spans = append(spans, millis(time.Since(began)))
	}
	slices.Sort(spans)
	return spans[len(spans)/2], spans[len(spans)-1]
}

func stateOf(plan StatePlan, size scale) (StateRow, error) {
	row := StateRow{Accounts: size.accounts, Targets: size.targets, Models: size.models, LoadAverage: LoadAverage()}
	raws, whole, err := firstNotes(size)
	if err != nil {
		return row, err
	}
	row.FirstNotes = len(raws)
	for _, raw := range raws {
		row.FirstBytes += len(raw)
	}
	row.FirstMillis, _ = timed(plan.Repeat, func() { fold(raws) })
	row.HeapBytes, whole = heapOf(whole)
	row.NoteMillis, row.NoteMax, err = oneNote(plan, raws, whole)
	if err != nil {
		return row, err
	}
	return row, row.transfer(plan, whole)
}

// transfer times what carries a whole configuration to a new process.
func (row *StateRow) transfer(plan StatePlan, whole *yuccastate.State) error {
	raw, err := yuccastate.EncodeState(whole)
	if err != nil {
		return eris.Wrap(err, "encoding a configuration")
	}
	row.EncodedBytes = len(raw)
	row.EncodeMillis, _ = timed(plan.Repeat, func() { _, _ = yuccastate.EncodeState(whole) })
	row.DecodeMillis, _ = timed(plan.Repeat, func() { _, err = yuccastate.DecodeState(raw) })
	if err != nil {
		return eris.Wrap(err, "decoding a configuration")
	}
	parts := yuccastate.EncodeBaseline(whole, yuccastate.NoteLimit)
	row.Parts = len(parts)
	for _, part := range parts {
		row.LargestPart = max(row.LargestPart, len(part.Value))
	}
	row.BaseMillis, _ = timed(plan.Repeat, func() { yuccastate.EncodeBaseline(whole, yuccastate.NoteLimit) })
	row.JoinMillis, _ = timed(plan.Repeat, func() { _, err = yuccastate.JoinParts(parts) })
	if err != nil {
		return eris.Wrap(err, "joining a baseline")
	}
	// A folded state carries the digests of its objects; this one hashes them all, as a
	// check of what a peer sent does.
	bare := &yuccastate.State{
		Number: whole.Number, Centres: whole.Centres, Links: whole.Links, Tiers: whole.Tiers,
		Pools: whole.Pools, Targets: whole.Targets, Accounts: whole.Accounts, Policy: whole.Policy,
	}
	if bare.Digest() != whole.Digest() {
		return eris.New("the digests of one configuration differ")
	}
	row.DigestMillis, _ = timed(plan.Repeat, func() { bare.Digest() })
	const lookups = 1000
	span, _ := timed(plan.Repeat, func() {
		for index := range lookups {
			whole.AccountOf(fmt.Sprint(index))
		}
	})
	row.AccountMicros = span
	return nil
}

// oneNote times what a daemon does with one published note: reading it, folding it and
// taking the digest.
func oneNote(plan StatePlan, raws [][]byte, whole *yuccastate.State) (median, most float64, err error) {
	chain := yuccastate.NewChain()
	now := time.Now()
	for index, raw := range raws {
		if _, err := chain.Offer(now, yuccastate.NoteKey(yuccaid.ConfigNumber(index+1)), raw); err != nil {
			return 0, 0, eris.Wrap(err, "offering a first note")
		}
	}
	state := whole
	var texts [][]byte
	for index := range max(1, plan.Repeat) * 3 {
		note := smallNote(state, index)
		if state, err = state.Apply(note); err != nil {
			return 0, 0, eris.Wrap(err, "folding a note")
		}
		texts = append(texts, note.Canonical())
	}
	at := 0
	median, most = timed(len(texts), func() {
		key := yuccastate.NoteKey(yuccaid.ConfigNumber(len(raws) + at + 1))
		if _, refused := chain.Offer(now, key, texts[at]); refused != nil {
			err = refused
		}
		at++
	})
	if err == nil && chain.Digest() != state.Digest() {
		err = eris.New("the chain did not take every note")
	}
	return median, most, err
}

// smallNote changes one account, as most notes do.
func smallNote(on *yuccastate.State, index int) yuccastate.Note {
	note := yuccastate.Note{Number: on.Number + 1, Base: on.Digest(), Author: account}
	name := accountName(index % len(on.Accounts))
	changed := on.Accounts[name]
	changed.Weight = 2 + index
	note.Changed.Accounts = map[yuccaid.Account]yuccastate.Account{name: changed}
	return note
}

// firstNotes builds a configuration in notes that the platform's service can hold.
func firstNotes(size scale) ([][]byte, *yuccastate.State, error) {
	state := yuccastate.Empty()
	var raws [][]byte
	for _, note := range []yuccastate.Note{frameNote(size), targetNote(size), accountNote(size)} {
		note.Number, note.Base = state.Number+1, state.Digest()
		next, err := state.Apply(note)
		if err != nil {
			return nil, nil, eris.Wrap(err, "folding a first note")
		}
		state = next
		raws = append(raws, note.Canonical())
	}
	return raws, state, nil
}

func fold(raws [][]byte) *yuccastate.State {
	chain := yuccastate.NewChain()
	for index, raw := range raws {
		_, _ = chain.Offer(time.Time{}, yuccastate.NoteKey(yuccaid.ConfigNumber(index+1)), raw)
	}
	return chain.State()
}

const (
	aimedCentres = 14
	aimedRegions = 4
)

func frameNote(size scale) yuccastate.Note {
	note := yuccastate.Note{Author: account}
	note.Added.Centres = make(map[yuccaid.Centre]yuccastate.Centre)
	for centre := range aimedCentres {
		note.Added.Centres[centreName(centre)] = yuccastate.Centre{Region: yuccaid.Region(fmt.Sprint("region-", centre%aimedRegions))}
	}
	note.Added.Tiers = map[yuccaid.Tier]yuccastate.Tier{"urgent": {Rank: 0}, tier: {Rank: 1}, "bulk": {Rank: 2}}
	note.Added.Pools = make(map[yuccaid.Pool]yuccastate.Pool)
	for model := range size.models {
		note.Added.Pools[poolName(model)] = yuccastate.Pool{
			Kind: yuccastate.PoolModel, LongestRun: runDeadline,
			Operations: yuccastate.Operations{"generate": {Idempotent: true}},
			Setup:      yuccastate.EngineSetup{Model: yuccaid.Model(fmt.Sprint("model-", model)), Version: "1.10"},
		}
	}
	return note
}

func targetNote(size scale) yuccastate.Note {
	note := yuccastate.Note{Author: account}
	note.Added.Targets = make(map[yuccaid.Target]yuccastate.Target)
	for index := range size.targets {
		note.Added.Targets[targetName(index)] = yuccastate.Target{
			Pool: poolName(index % size.models), Centre: centreName(index % aimedCentres),
			VM: yuccaid.VM(fmt.Sprint("vm-engine-", index)), Address: fmt.Sprintf("10.1.%d.%d:8000", index/250, index%250),
			Slots: 8, Prefill: 4000, Decode: 50, Cache: 200_000, ChecksFence: true,
		}
	}
	return note
}

func accountNote(size scale) yuccastate.Note {
	note := yuccastate.Note{Author: account}
	note.Added.Accounts = make(map[yuccaid.Account]yuccastate.Account)
	for index := range size.accounts {
		note.Added.Accounts[accountName(index)] = yuccastate.Account{
			Credential: yuccastate.CredentialDigest(fmt.Sprint(index)), Weight: 1,
			Tiers:  []yuccaid.Tier{"urgent", tier, "bulk"},
			Pools:  []yuccaid.Pool{poolName(index % size.models)},
			Limits: yuccastate.Limits{RequestsPerSecond: 50, Running: 100},
		}
	}
	return note
}

func poolName(index int) yuccaid.Pool { return yuccaid.Pool(fmt.Sprint("pool-", index)) }

func targetName(index int) yuccaid.Target { return yuccaid.Target(fmt.Sprint("engine-", index)) }

func accountName(index int) yuccaid.Account { return yuccaid.Account(fmt.Sprint("account-", index)) }

// heapOf returns the live heap that a configuration takes, as the difference that a
// decoded copy makes.
func heapOf(whole *yuccastate.State) (float64, *yuccastate.State) {
	raw, err := yuccastate.EncodeState(whole)
	if err != nil {
		return 0, whole
	}
	before := liveHeap()
	copied, err := yuccastate.DecodeState(raw)
	if err != nil {
		return 0, whole
	}
	size := liveHeap() - before
	// Without these the first copy could be collected in between and hide the second.
	runtime.KeepAlive(raw)
	runtime.KeepAlive(whole)
	return size, copied
}

// liveHeap returns the heap after two collections, since the first only marks what
// finalizers hold.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func stateTable(rows []StateRow) Table[StateRow] {
	return Table[StateRow]{Title: "configuration by size", Rows: rows, Columns: []Column[StateRow]{
		{"accounts", func(row StateRow) string { return fmt.Sprint(row.Accounts) }},
		{"targets", func(row StateRow) string { return fmt.Sprint(row.Targets) }},
		{"models", func(row StateRow) string { return fmt.Sprint(row.Models) }},
		{"load", func(row StateRow) string { return tenth(row.LoadAverage) }},
		{"notes KB", func(row StateRow) string { return tenth(float64(row.FirstBytes) / 1000) }},
		{"notes ms", func(row StateRow) string { return tenth(row.FirstMillis) }},
		{"1 note ms", func(row StateRow) string { return fine(row.NoteMillis) }},
		{"max", func(row StateRow) string { return fine(row.NoteMax) }},
		{"digest ms", func(row StateRow) string { return fine(row.DigestMillis) }},
		{"parts", func(row StateRow) string { return fmt.Sprint(row.Parts) }},
		{"largest KB", func(row StateRow) string { return tenth(float64(row.LargestPart) / 1000) }},
		{"split ms", func(row StateRow) string { return tenth(row.BaseMillis) }},
		{"join ms", func(row StateRow) string { return tenth(row.JoinMillis) }},
		{"encoded KB", func(row StateRow) string { return tenth(float64(row.EncodedBytes) / 1000) }},
		{"encode ms", func(row StateRow) string { return tenth(row.EncodeMillis) }},
		{"decode ms", func(row StateRow) string { return tenth(row.DecodeMillis) }},
		{"heap KB", func(row StateRow) string { return tenth(row.HeapBytes / 1000) }},
		{"account of us", func(row StateRow) string { return fine(row.AccountMicros) }},
	}}
}

func stateFits(rows []StateRow) []Fit {
	each := func(what string, of func(StateRow) float64) Fit {
		var sizes, values []float64
		for _, row := range rows {
			sizes = append(sizes, float64(row.Accounts+row.Targets))
			values = append(values, of(row))
		}
		return FitLine(what, sizes, values)
	}
	return []Fit{
		each("ms of one note", func(row StateRow) float64 { return row.NoteMillis }),
		each("ms of the first notes", func(row StateRow) float64 { return row.FirstMillis }),
		each("ms of the digest", func(row StateRow) float64 { return row.DigestMillis }),
		each("encoded bytes", func(row StateRow) float64 { return float64(row.EncodedBytes) }),
		each("ms to decode", func(row StateRow) float64 { return row.DecodeMillis }),
		each("heap bytes", func(row StateRow) float64 { return row.HeapBytes }),
	}
}
