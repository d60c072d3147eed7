package yuccameasure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"yuccacleat/core/yuccaplot"
)

// allKinds is the name under which the bench reports the requests of all kinds.
const allKinds = "all"

// Losses tells what became of the requests of one kind on one day, and what their worth was lost to.
// Owed is a number of requests. The other figures are fractions of them, or of their full worth.
// LostLate, LostRefused and LostFailed together are the worth that is missing.
type Losses struct {
	Day     string  `json:"day"`
	Kind    string  `json:"kind"`
	Owed    int     `json:"owed"`
	OnTime  float64 `json:"onTime"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Worth   float64 `json:"worth"`

	LostLate    float64 `json:"lostLate"`
	LostRefused float64 `json:"lostRefused"`
	LostFailed  float64 `json:"lostFailed"`
}

// reportedGroup is one group of requests in the bench's report of a day.
type reportedGroup struct {
	Name    string  `json:"name"`
	Count   int     `json:"n"`
	OnTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	NotOwed int     `json:"not_owed"`
	Worth   float64 `json:"worth"`
}

// dayReport is what is read of the bench's report of a day.
type dayReport struct {
	All     reportedGroup   `json:"all"`
	Kinds   []reportedGroup `json:"classes"`
	Windows []reportedGroup `json:"windows"`
}

// losses divides the worth that a group lacks among what became of its requests. A refused or failed
// request lacks its full worth, a late one a part of it. If these sum up to more than is missing,
// because the bench forgives a part, each gets its proportion of what is missing.
func (grp *reportedGroup) losses(day string) Losses {
	owed := max(grp.Count-grp.NotOwed, 1)
	share := func(count int) float64 { return float64(count) / float64(owed) }
	row := Losses{
		Day: day, Kind: grp.Name, Owed: grp.Count - grp.NotOwed, Worth: grp.Worth,
		OnTime: share(grp.OnTime), Late: share(grp.Late), Refused: share(grp.Refused), Failed: share(grp.Failed),
	}
	missing := max(1-grp.Worth, 0)
	full := row.Refused + row.Failed
	if full >= missing && full > 0 {
		row.LostRefused = missing * row.Refused / full
		row.LostFailed = missing * row.Failed / full
		return row
	}
	row.LostRefused, row.LostFailed = row.Refused, row.Failed
	row.LostLate = missing - full
	return row
}

// ReadLosses reads the bench's reports of days. A day is named like its report's file. The rows of a
// day are its kinds, ordered as in the report, and then all of them together.
func ReadLosses(paths []string) ([]Losses, error) {
	var rows []Losses
	for _, path := range paths {
		report, err := readDayReport(path)
		if err != nil {
			return nil, err
		}
		day := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		for _, kind := range slices.Concat(report.Kinds, []reportedGroup{report.All}) {
			rows = append(rows, kind.losses(day))
		}
	}
	return rows, nil
}

func readDayReport(path string) (*dayReport, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var report dayReport
	if err := json.Unmarshal(raw, &report); err != nil || report.All.Name != allKinds {
		return nil, fmt.Errorf("%s is no report of a day, write it with --report", path)
	}
	return &report, nil
}

// WriteLosses writes the rows as a table for people and as lines for programs.
func WriteLosses(rows []Losses, text, lines io.Writer) error {
	figure := func(name string, of func(Losses) float64) Column[Losses] {
		return Column[Losses]{name, func(row Losses) string { return fine(of(row)) }}
	}
	return Table[Losses]{
		Title: "lost worth by cause",
		Columns: []Column[Losses]{
			{"day", func(row Losses) string { return row.Day }},
			{"kind", func(row Losses) string { return row.Kind }},
			{"owed", func(row Losses) string { return fmt.Sprint(row.Owed) }},
			figure("on time", func(row Losses) float64 { return row.OnTime }),
			figure("late", func(row Losses) float64 { return row.Late }),
			figure("refused", func(row Losses) float64 { return row.Refused }),
			figure("failed", func(row Losses) float64 { return row.Failed }),
			figure("worth", func(row Losses) float64 { return row.Worth }),
			figure("lost: late", func(row Losses) float64 { return row.LostLate }),
			figure("lost: refused", func(row Losses) float64 { return row.LostRefused }),
			figure("lost: failed", func(row Losses) float64 { return row.LostFailed }),
		},
		Rows: rows,
	}.Write(text, lines)
}

// DrawLosses returns as SVG what became of a day's requests in the course of the day.
func DrawLosses(path string) ([]byte, error) {
	report, err := readDayReport(path)
	if err != nil {
		return nil, err
	}
	chart := yuccaplot.Chart{Title: "what became of requests, as a fraction of those owed", Load: "seconds since the day began", Highest: 1}
	onTime, late := yuccaplot.Line{Name: "on time"}, yuccaplot.Line{Name: "late"}
	refused, failed := yuccaplot.Line{Name: "refused"}, yuccaplot.Line{Name: "failed"}
	for _, window := range report.Windows {
		begin, err := strconv.ParseFloat(window.Name, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: window %q isn't named by its first second: %w", path, window.Name, err)
		}
		row := window.losses("")
		onTime.Points = append(onTime.Points, yuccaplot.Point{Load: begin, Figure: row.OnTime})
		late.Points = append(late.Points, yuccaplot.Point{Load: begin, Figure: row.Late})
		refused.Points = append(refused.Points, yuccaplot.Point{Load: begin, Figure: row.Refused})
		failed.Points = append(failed.Points, yuccaplot.Point{Load: begin, Figure: row.Failed})
	}
	chart.Lines = []yuccaplot.Line{onTime, late, refused, failed}
	return chart.SVG()
}
