package yuccameasure

import (
	"context"
	"fmt"
	"io"
	"time"
)

// PollsPlan says how many targets one pool has, one fleet after the other.
type PollsPlan struct {
	Targets []int
	Quiet   time.Duration
}

// PollsRow is what reading the targets' load, cache and state costs a pool's leader.
type PollsRow struct {
	Targets     int     `json:"targets"`
	LoadAverage float64 `json:"loadAverage"`
	LeaderCore  float64 `json:"leaderCoreShare"`
	OtherCore   float64 `json:"otherCoreShare"`
	LeaderBytes float64 `json:"leaderResidentBytes"`
}

// Polls measures fleets of three daemons whose one pool grows.
func Polls(ctx context.Context, programs Programs, plan PollsPlan, text, lines io.Writer) error {
	var rows []PollsRow
	var targets, cores []float64
	for _, count := range plan.Targets {
		row, err := polls(ctx, programs, plan, count)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		targets, cores = append(targets, float64(count)), append(cores, row.LeaderCore)
	}
	if err := pollsTable(rows).Write(text, lines); err != nil {
		return err
	}
	return fits("polls fit", []Fit{FitLine("core share of a leader over targets", targets, cores)}).Write(text, lines)
}

func polls(ctx context.Context, programs Programs, plan PollsPlan, targets int) (PollsRow, error) {
	flt, err := startFleet(ctx, programs, shape{centres: 1, daemons: 3, engines: targets, slots: 8, decode: 50})
	if err != nil {
		return PollsRow{}, err
	}
	defer flt.close()
	rest(ctx, 5*time.Second)
	leader, _, err := flt.split(ctx)
	if err != nil {
		return PollsRow{}, err
	}
	row := PollsRow{Targets: targets, LoadAverage: LoadAverage()}
	began := time.Now()
	before, err := flt.take(ctx)
	if err != nil {
		return row, err
	}
	rest(ctx, plan.Quiet)
	after, err := flt.take(ctx)
	if err != nil {
		return row, err
	}
	seconds := time.Since(began).Seconds()
	for index, dmn := range flt.daemons {
		share := (after.usage[index].Processor - before.usage[index].Processor).Seconds() / seconds
		if dmn == leader {
			row.LeaderCore, row.LeaderBytes = share, float64(after.usage[index].Resident)
			continue
		}
		row.OtherCore += share / float64(len(flt.daemons)-1)
	}
	return row, nil
}

func pollsTable(rows []PollsRow) Table[PollsRow] {
	return Table[PollsRow]{Title: "polls", Rows: rows, Columns: []Column[PollsRow]{
		{"targets", func(row PollsRow) string { return fmt.Sprint(row.Targets) }},
		{"load", func(row PollsRow) string { return tenth(row.LoadAverage) }},
		{"leader core %", func(row PollsRow) string { return fine(100 * row.LeaderCore) }},
		{"other core %", func(row PollsRow) string { return fine(100 * row.OtherCore) }},
		{"leader MB", func(row PollsRow) string { return tenth(row.LeaderBytes / 1e6) }},
	}}
}
