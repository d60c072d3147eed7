package main

import (
	"os"

	"github.com/spf13/cobra"

	"yuccacleat/io/yuccameasure"
)

func worthCommand(flags *common) *cobra.Command {
	var plot string
	cmd := &cobra.Command{
		Use:   "worth REPORT...",
		Short: "Show what days were worth against their load, from the bench's reports",
		Long: `worth reads reports of single days, named SERIES@LOAD@TRY.json, and prints the mean of the
tries at each load. With --plot it draws them.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			points, err := yuccameasure.ReadWorth(paths)
			if err != nil {
				return err
			}
			if err := writePlot(plot, func() ([]byte, error) { return yuccameasure.DrawWorth(points) }); err != nil {
				return err
			}
			return flags.withLines(func(lines *os.File) error { return yuccameasure.WriteWorth(points, cmd.OutOrStdout(), lines) })
		},
	}
	cmd.Flags().StringVar(&plot, "plot", "", "SVG file to draw worth against load to")
	return cmd
}

func lossesCommand(flags *common) *cobra.Command {
	var plot string
	cmd := &cobra.Command{
		Use:   "losses REPORT...",
		Short: "Show what the worth of days was lost to, from the bench's reports",
		Long: `losses reads reports of days and prints what became of the requests of each kind, and how
much worth was lost to late, refused and failed ones. With --plot it draws the course of the
first day.`,
		Example: "  yuccameasure losses --plot scale-1.svg scale-1.json trouble-1.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			rows, err := yuccameasure.ReadLosses(paths)
			if err != nil {
				return err
			}
			if err := writePlot(plot, func() ([]byte, error) { return yuccameasure.DrawLosses(paths[0]) }); err != nil {
				return err
			}
			return flags.withLines(func(lines *os.File) error { return yuccameasure.WriteLosses(rows, cmd.OutOrStdout(), lines) })
		},
	}
	cmd.Flags().StringVar(&plot, "plot", "", "SVG file to draw the course of the first day to")
	return cmd
}

// writePlot writes a drawing to a file, unless the path is empty.
func writePlot(path string, draw func() ([]byte, error)) error {
	if path == "" {
		return nil
	}
	svg, err := draw()
	if err != nil {
		return err
	}
	return os.WriteFile(path, svg, 0o644)
}
