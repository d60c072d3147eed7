package yuccameasure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Column is one column of a table and how its cell is found in a row.
type Column[R any] struct {
	Name string
	Cell func(row R) string
}

// Table is rows of one measurement, written for people and for programs.
type Table[R any] struct {
	Title   string
	Columns []Column[R]
	Rows    []R
}

// Write writes the table as text and then each row as a JSON line.
func (tbl Table[R]) Write(text, lines io.Writer) error {
	fmt.Fprintf(text, "%s\n", tbl.Title)
	grid := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, col := range tbl.Columns {
		fmt.Fprintf(grid, "%s\t", col.Name)
	}
	fmt.Fprintln(grid)
	for _, row := range tbl.Rows {
		for _, col := range tbl.Columns {
			fmt.Fprintf(grid, "%s\t", col.Cell(row))
		}
		fmt.Fprintln(grid)
	}
	if err := grid.Flush(); err != nil {
		return eris.Wrap(err, "writing a table")
	}
	fmt.Fprintln(text)
	encoder := json.NewEncoder(lines)
	for _, row := range tbl.Rows {
		if err := encoder.Encode(line[R]{Measure: tbl.Title, Row: row}); err != nil {
			return eris.Wrap(err, "writing a row")
		}
	}
	return nil
}

// line is one row with the measurement that it belongs to.
type line[R any] struct {
	Measure string `json:"measure"`
	Row     R      `json:"row"`
}

// whole shows a number without a fraction, fine with three digits after the point.
func whole(value float64) string { return fmt.Sprintf("%.0f", value) }

func fine(value float64) string { return fmt.Sprintf("%.3f", value) }

func tenth(value float64) string { return fmt.Sprintf("%.1f", value) }
