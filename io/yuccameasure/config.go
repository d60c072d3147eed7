package yuccameasure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccastand"
)

// ConfigPlan says which fleets get how many release notes.
type ConfigPlan struct {
	Sizes []int
	Notes int
	Quiet time.Duration
	// Outage is how long the platform's service is away.
	Outage time.Duration
}

// ConfigRow is what changes of configuration cost one fleet.
type ConfigRow struct {
	Daemons     int     `json:"daemons"`
	LoadAverage float64 `json:"loadAverage"`
	Notes       int     `json:"notes"`
	// All is the time from publishing to in force on the last daemon, Each on any one.
	AllMedian  float64 `json:"allMedianSeconds"`
	AllMax     float64 `json:"allMaxSeconds"`
	EachMedian float64 `json:"eachMedianSeconds"`
	ByPeer     float64 `json:"shareTakenFromPeer"`
	// StartReads are a daemon's calls until the fleet serves.
	StartReads float64 `json:"readsPerDaemonAtStart"`
	// QuietReads are a daemon's calls in a second without changes, ChangeReads those
	// that one change adds.
	QuietReads  float64 `json:"readsPerDaemonSecondQuiet"`
	ChangeReads float64 `json:"readsPerDaemonAndChange"`
	// OutagePeak are the most calls of all daemons in a second while the service is away
	// or has just come back.
	OutagePeak    float64 `json:"outageReadsPerSecondPeak"`
	OutageMean    float64 `json:"outageReadsPerDaemonSecond"`
	BackPeak      float64 `json:"backReadsPerSecondPeak"`
	RecoverySecs  float64 `json:"secondsFromBackToInForce"`
	HourReads400  float64 `json:"readsPerSecondAt400"`
	OutagePeak400 float64 `json:"outageReadsPerSecondPeakAt400"`
	StartReads400 float64 `json:"readsToStart400"`
}

const (
	// aimedDaemons and aimedChanges are what rows are extrapolated to.
	aimedDaemons = 400
	aimedChanges = 1000
	secondsOfDay = 24 * 60 * 60
)

// Config measures how fast release notes take hold, and what daemons read for them.
func Config(ctx context.Context, programs Programs, plan ConfigPlan, text, lines io.Writer) error {
	var rows []ConfigRow
	for _, size := range plan.Sizes {
		row, err := config(ctx, programs, plan, size)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	if err := configTable(rows).Write(text, lines); err != nil {
		return err
	}
	return readsTable(rows).Write(text, lines)
}

func config(ctx context.Context, programs Programs, plan ConfigPlan, size int) (ConfigRow, error) {
	flt, err := startFleet(ctx, programs, shape{centres: 1, daemons: size, engines: 1, slots: 8, decode: 400})
	if err != nil {
		return ConfigRow{}, err
	}
	defer flt.close()
	row := ConfigRow{Daemons: size, LoadAverage: LoadAverage(), Notes: plan.Notes}
	for _, step := range []func(context.Context, ConfigPlan, *ConfigRow) error{
		flt.started, flt.quietReads, flt.changes, flt.outage,
	} {
		if err := step(ctx, plan, &row); err != nil {
			return row, err
		}
	}
	row.HourReads400 = aimedDaemons * (row.QuietReads + row.ChangeReads*aimedChanges/secondsOfDay)
	row.OutagePeak400 = row.OutagePeak * aimedDaemons / float64(size)
	row.StartReads400 = row.StartReads * aimedDaemons
	return row, nil
}

// reads returns the calls that the platform's service has counted.
func (flt *fleet) reads(ctx context.Context) (float64, error) {
	var counts yuccastand.Counts
	err := fetch(ctx, flt.platform, "/control/counts", &counts)
	return float64(counts.Calls), err
}

func (flt *fleet) started(ctx context.Context, _ ConfigPlan, row *ConfigRow) error {
	reads, err := flt.reads(ctx)
	row.StartReads = reads / float64(row.Daemons)
	return err
}

// over returns the calls of a daemon in a second of some work.
func (flt *fleet) over(ctx context.Context, work func() error) (perDaemon, seconds float64, err error) {
	before, err := flt.reads(ctx)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	if err := work(); err != nil {
		return 0, 0, err
	}
	after, err := flt.reads(ctx)
	return (after - before) / float64(len(flt.daemons)), time.Since(began).Seconds(), err
}

func (flt *fleet) quietReads(ctx context.Context, plan ConfigPlan, row *ConfigRow) error {
	reads, seconds, err := flt.over(ctx, func() error {
		rest(ctx, plan.Quiet)
		return nil
	})
	row.QuietReads = reads / seconds
	return err
}

// changes publishes notes one by one and reads afterwards, from each daemon's audit
// trail, when it took each; all processes share this machine's clock.
func (flt *fleet) changes(ctx context.Context, plan ConfigPlan, row *ConfigRow) error {
	published := make([]time.Time, 0, plan.Notes)
	first := flt.state.Number + 1
	reads, seconds, err := flt.over(ctx, func() error {
		for index := range plan.Notes {
			published = append(published, time.Now())
			if err := flt.publish(policyNote(index)); err != nil {
				return err
			}
			// Gaps of 1 to 3 s meet the daemons' pauses at every phase.
			rest(ctx, time.Second+time.Duration(rand.Int64N(int64(2*time.Second))))
		}
		return flt.settle(ctx)
	})
	if err != nil {
		return err
	}
	row.ChangeReads = max(0, (reads-row.QuietReads*seconds)/float64(plan.Notes))
	return flt.inForce(ctx, first, published, row)
}

func policyNote(index int) yuccastate.Note {
	note := yuccastate.Note{Author: account}
	note.Changed.Policy = &yuccastate.Policy{GoodputWeight: 1 + float64(index)/1000, WasteWeight: 1}
	return note
}

// inForce compares the audit trails with the times of publishing.
func (flt *fleet) inForce(ctx context.Context, first yuccaid.ConfigNumber, published []time.Time, row *ConfigRow) error {
	each := newLatencies()
	last := make([]time.Duration, len(published))
	taken, fromPeer := 0, 0
	for _, dmn := range flt.daemons {
		var entries []yuccadaemon.AuditEntry
		if err := fetch(ctx, dmn.addresses.Operator, "/v1/audit", &entries); err != nil {
			return err
		}
		for _, entry := range entries {
			if entry.Number < first || entry.Kind != yuccadaemon.AuditKind(yuccastate.EntryAccepted) {
				continue
			}
			index := int(entry.Number - first)
			after := entry.At.Sub(published[index])
			each.record(after)
			last[index] = max(last[index], after)
			taken++
			if entry.What == "configuration from peer" {
				fromPeer++
			}
		}
	}
	if taken != len(published)*len(flt.daemons) {
		return eris.Errorf("%d of %d acceptances stand in the audit trails", taken, len(published)*len(flt.daemons))
	}
	all := newLatencies()
	for _, after := range last {
		all.record(after)
	}
	row.AllMedian, row.AllMax = all.at(50).Seconds(), all.at(100).Seconds()
	row.EachMedian = each.at(50).Seconds()
	row.ByPeer = float64(fromPeer) / float64(taken)
	return nil
}

// outage takes the service away and back, with a note published in between, as when
// operators go on writing to it before its readers can see it.
func (flt *fleet) outage(ctx context.Context, plan ConfigPlan, row *ConfigRow) error {
	if err := flt.faults(yuccastand.PlatformFaults{Down: true}); err != nil {
		return err
	}
	peak, mean, err := flt.peak(ctx, plan.Outage)
	if err != nil {
		return err
	}
	row.OutagePeak, row.OutageMean = peak, mean/float64(row.Daemons)
	if err := flt.publish(policyNote(plan.Notes)); err != nil {
		return err
	}
	if err := flt.faults(yuccastand.PlatformFaults{}); err != nil {
		return err
	}
	back := time.Now()
	settled := make(chan error, 1)
	go func() {
		err := flt.settle(ctx)
		row.RecoverySecs = time.Since(back).Seconds()
		settled <- err
	}()
	row.BackPeak, _, err = flt.peak(ctx, plan.Outage)
	if err != nil {
		return err
	}
	return <-settled
}

func (flt *fleet) faults(faults yuccastand.PlatformFaults) error {
	raw, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "writing faults")
	}
	return send("POST", flt.platform, "/control/faults", raw)
}

// peak returns the most calls in one second of a span, and the mean.
func (flt *fleet) peak(ctx context.Context, span time.Duration) (peak, mean float64, err error) {
	began, last := time.Now(), time.Now()
	first, err := flt.reads(ctx)
	if err != nil {
		return 0, 0, err
	}
	before := first
	for time.Since(began) < span && ctx.Err() == nil {
		rest(ctx, time.Second)
		now, err := flt.reads(ctx)
		if err != nil {
			return 0, 0, err
		}
		peak = max(peak, (now-before)/time.Since(last).Seconds())
		before, last = now, time.Now()
	}
	return peak, (before - first) / time.Since(began).Seconds(), nil
}

// latencies is a histogram of spans from a microsecond to an hour with three digits.
type latencies struct {
	histogram *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{histogram: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

func (lat latencies) record(span time.Duration) {
	_ = lat.histogram.RecordValue(max(1, span.Microseconds()))
}

func (lat latencies) at(percent float64) time.Duration {
	return time.Duration(lat.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

func configTable(rows []ConfigRow) Table[ConfigRow] {
	return Table[ConfigRow]{Title: "configuration in force", Rows: rows, Columns: []Column[ConfigRow]{
		{"daemons", func(row ConfigRow) string { return fmt.Sprint(row.Daemons) }},
		{"load", func(row ConfigRow) string { return tenth(row.LoadAverage) }},
		{"notes", func(row ConfigRow) string { return fmt.Sprint(row.Notes) }},
		{"one daemon p50 s", func(row ConfigRow) string { return fine(row.EachMedian) }},
		{"all p50 s", func(row ConfigRow) string { return fine(row.AllMedian) }},
		{"all max s", func(row ConfigRow) string { return fine(row.AllMax) }},
		{"from peer", func(row ConfigRow) string { return fine(row.ByPeer) }},
		{"after outage s", func(row ConfigRow) string { return tenth(row.RecoverySecs) }},
	}}
}

func readsTable(rows []ConfigRow) Table[ConfigRow] {
	return Table[ConfigRow]{Title: "reads of the platform", Rows: rows, Columns: []Column[ConfigRow]{
		{"daemons", func(row ConfigRow) string { return fmt.Sprint(row.Daemons) }},
		{"start/daemon", func(row ConfigRow) string { return tenth(row.StartReads) }},
		{"quiet/daemon s", func(row ConfigRow) string { return fine(row.QuietReads) }},
		{"change/daemon", func(row ConfigRow) string { return fine(row.ChangeReads) }},
		{"outage/daemon s", func(row ConfigRow) string { return fine(row.OutageMean) }},
		{"outage peak/s", func(row ConfigRow) string { return tenth(row.OutagePeak) }},
		{"back peak/s", func(row ConfigRow) string { return tenth(row.BackPeak) }},
		{"400: usual/s", func(row ConfigRow) string { return tenth(row.HourReads400) }},
		{"400: outage peak/s", func(row ConfigRow) string { return tenth(row.OutagePeak400) }},
		{"400: start", func(row ConfigRow) string { return whole(row.StartReads400) }},
	}}
}
