package yuccameasure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccastand"
)

// FullPlan says how a fleet with a configuration of the aimed size is tried.
type FullPlan struct {
	Daemons   int
	Notes     int
	Newcomers int
}

// FullRow is what a configuration of one size costs a fleet of processes.
type FullRow struct {
	Accounts     int     `json:"accounts"`
	Targets      int     `json:"targets"`
	Daemons      int     `json:"daemons"`
	LoadAverage  float64 `json:"loadAverage"`
	StartSeconds float64 `json:"startSeconds"`
	Resident     float64 `json:"residentBytesMean"`
	Notes        int     `json:"notes"`
	AllMedian    float64 `json:"allMedianSeconds"`
	AllMax       float64 `json:"allMaxSeconds"`
	// NoteMillis is the processor time that one note takes of a daemon.
	NoteMillis float64 `json:"processorMillisPerNote"`
}

// NewcomerRow is how one more daemon came to serve.
type NewcomerRow struct {
	From        string  `json:"from"`
	Accounts    int     `json:"accounts"`
	Targets     int     `json:"targets"`
	Newcomers   int     `json:"newcomers"`
	LoadAverage float64 `json:"loadAverage"`
	ReadyMedian float64 `json:"readyMedianSeconds"`
	ReadyMax    float64 `json:"readyMaxSeconds"`
	Processor   float64 `json:"processorSecondsMean"`
	Resident    float64 `json:"residentBytesMean"`
	// Bytes are those of the snapshots and notes that peers sent it.
	Bytes float64 `json:"bytesFromPeersMean"`
}

// Full measures a small and a full configuration in a fleet of processes.
func Full(ctx context.Context, programs Programs, plan FullPlan, text, lines io.Writer) error {
	var rows []FullRow
	var newcomers []NewcomerRow
	for _, size := range []scale{{}, scales()[len(scales())-1]} {
		row, came, err := full(ctx, programs, plan, size)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		newcomers = append(newcomers, came...)
	}
	if err := fullTable(rows).Write(text, lines); err != nil {
		return err
	}
	return newcomerTable(newcomers).Write(text, lines)
}

func full(ctx context.Context, programs Programs, plan FullPlan, size scale) (FullRow, []NewcomerRow, error) {
	row := FullRow{Accounts: size.accounts, Targets: size.targets, Daemons: plan.Daemons, Notes: plan.Notes}
	flt, err := startFleet(ctx, programs, shape{centres: 1, daemons: plan.Daemons, engines: 1, slots: 8, decode: 400, rest: size})
	if err != nil {
		return row, nil, err
	}
	defer flt.close()
	row.StartSeconds = time.Since(flt.began).Seconds()
	row.LoadAverage = LoadAverage()
	if err := flt.fullChanges(ctx, plan, &row); err != nil {
		return row, nil, err
	}
	fromPlatform, err := flt.newcomers(ctx, plan, size, "platform")
	if err != nil {
		return row, nil, err
	}
	if err := flt.faults(yuccastand.PlatformFaults{Down: true}); err != nil {
		return row, nil, err
	}
	fromPeer, err := flt.newcomers(ctx, plan, size, "peer, platform away")
	return row, []NewcomerRow{fromPlatform, fromPeer}, err
}

// fullChanges publishes notes and compares the audit trails and processor times.
func (flt *fleet) fullChanges(ctx context.Context, plan FullPlan, row *FullRow) error {
	before, err := flt.take(ctx)
	if err != nil {
		return err
	}
	var timing ConfigRow
	counts := ConfigPlan{Notes: plan.Notes}
	began := time.Now()
	if err := flt.changes(ctx, counts, &timing); err != nil {
		return err
	}
	changing, err := flt.take(ctx)
	if err != nil {
		return err
	}
	span := time.Since(began)
	rest(ctx, span)
	after, err := flt.take(ctx)
	if err != nil {
		return err
	}
	row.AllMedian, row.AllMax = timing.AllMedian, timing.AllMax
	var noted, resident []float64
	for index := range flt.daemons {
		busy := changing.usage[index].Processor - before.usage[index].Processor
		quiet := after.usage[index].Processor - changing.usage[index].Processor
		noted = append(noted, millis(busy-quiet)/float64(plan.Notes))
		resident = append(resident, float64(after.usage[index].Resident))
	}
	row.NoteMillis, row.Resident = stat.Mean(noted, nil), stat.Mean(resident, nil)
	return nil
}

// newcomers start one after the other and leave again; each is timed until it serves.
func (flt *fleet) newcomers(ctx context.Context, plan FullPlan, size scale, from string) (NewcomerRow, error) {
	row := NewcomerRow{From: from, Accounts: size.accounts, Targets: size.targets, Newcomers: plan.Newcomers, LoadAverage: LoadAverage()}
	ready := newLatencies()
	for index := range plan.Newcomers {
		before, err := flt.take(ctx)
		if err != nil {
			return row, err
		}
		name := yuccaid.VM(fmt.Sprintf("new-%d-%d", len(from), index))
		span, used, err := flt.newcomer(ctx, name)
		if err != nil {
			return row, err
		}
		after, err := flt.take(ctx)
		if err != nil {
			return row, err
		}
		ready.record(span)
		count := float64(plan.Newcomers)
		row.Processor += used.Processor.Seconds() / count
		row.Resident += float64(used.Resident) / count
		for _, one := range less(after.all(), before.all(), 1) {
			if one.Kind == "snapshot" || one.Kind == "notes" {
				row.Bytes += one.Bytes / count
			}
		}
	}
	row.ReadyMedian, row.ReadyMax = ready.at(50).Seconds(), ready.at(100).Seconds()
	return row, nil
}

func (flt *fleet) newcomer(ctx context.Context, name yuccaid.VM) (time.Duration, usage, error) {
	ctx, stop := context.WithTimeout(ctx, settleLimit)
	defer stop()
	began := time.Now()
	dmn, err := flt.startDaemon(centreName(0), name, flt.daemons[0].addresses.Peer)
	if err != nil {
		return 0, usage{}, err
	}
	// It isn't one of the fleet that is read before and after.
	flt.daemons = flt.daemons[:len(flt.daemons)-1]
	defer dmn.end()
	for ctx.Err() == nil {
		var status yuccadaemon.Status
		err := fetch(ctx, dmn.addresses.Operator, "/v1/status", &status)
		if err == nil && status.Ready && status.Digest == flt.state.Digest() {
			span := time.Since(began)
			used, err := dmn.usage()
			return span, used, err
		}
		rest(ctx, pollEvery)
	}
	return 0, usage{}, eris.Errorf("%s did not serve in %v", name, settleLimit)
}

// restNotes fill the configuration up with pools, targets and accounts that this data
// centre has nothing to do with, so that nobody calls those targets.
func restNotes(shp shape) []yuccastate.Note {
	size := shp.rest
	if size.targets == 0 {
		return nil
	}
	frame, targets, accounts := frameNote(size), targetNote(size), accountNote(size)
	for centre := range shp.centres {
		delete(frame.Added.Centres, centreName(centre))
	}
	frame.Added.Tiers = nil
	elsewhere := centreName(aimedCentres - 1)
	index := 0
	for name, target := range targets.Added.Targets {
		target.Centre = elsewhere
		target.Address = fmt.Sprintf("127.1.%d.%d:9", index/250, index%250+1)
		targets.Added.Targets[name] = target
		index++
	}
	for name, account := range accounts.Added.Accounts {
		account.Tiers = []yuccaid.Tier{tier}
		accounts.Added.Accounts[name] = account
	}
	return []yuccastate.Note{frame, targets, accounts}
}

func fullTable(rows []FullRow) Table[FullRow] {
	return Table[FullRow]{Title: "full configuration", Rows: rows, Columns: []Column[FullRow]{
		{"accounts", func(row FullRow) string { return fmt.Sprint(row.Accounts) }},
		{"targets", func(row FullRow) string { return fmt.Sprint(row.Targets) }},
		{"daemons", func(row FullRow) string { return fmt.Sprint(row.Daemons) }},
		{"load", func(row FullRow) string { return tenth(row.LoadAverage) }},
		{"start s", func(row FullRow) string { return tenth(row.StartSeconds) }},
		{"MB", func(row FullRow) string { return tenth(row.Resident / 1e6) }},
		{"notes", func(row FullRow) string { return fmt.Sprint(row.Notes) }},
		{"all p50 s", func(row FullRow) string { return fine(row.AllMedian) }},
		{"all max s", func(row FullRow) string { return fine(row.AllMax) }},
		{"ms/note", func(row FullRow) string { return fine(row.NoteMillis) }},
	}}
}

func newcomerTable(rows []NewcomerRow) Table[NewcomerRow] {
	return Table[NewcomerRow]{Title: "newcomers", Rows: rows, Columns: []Column[NewcomerRow]{
		{"from", func(row NewcomerRow) string { return row.From }},
		{"targets", func(row NewcomerRow) string { return fmt.Sprint(row.Targets) }},
		{"newcomers", func(row NewcomerRow) string { return fmt.Sprint(row.Newcomers) }},
		{"load", func(row NewcomerRow) string { return tenth(row.LoadAverage) }},
		{"ready p50 s", func(row NewcomerRow) string { return fine(row.ReadyMedian) }},
		{"ready max s", func(row NewcomerRow) string { return fine(row.ReadyMax) }},
		{"cpu s", func(row NewcomerRow) string { return fine(row.Processor) }},
		{"MB", func(row NewcomerRow) string { return tenth(row.Resident / 1e6) }},
		{"KB from peers", func(row NewcomerRow) string { return tenth(row.Bytes / 1000) }},
	}}
}
