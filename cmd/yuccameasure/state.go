package main

import (
	"os"

	"github.com/spf13/cobra"

	"yuccacleat/io/yuccameasure"
)

func stateCommand(flags *common) *cobra.Command {
	var plan yuccameasure.StatePlan
	cmd := measureCommand("state", "Measure, in this process, what configuration, pool leaders and owners take",
		"  yuccameasure state --repeat 3")
	cmd.Flags().IntVar(&plan.Repeat, "repeat", 9, "times that each step is timed; the median counts")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return flags.withLines(func(lines *os.File) error {
			return yuccameasure.State(plan, cmd.OutOrStdout(), lines)
		})
	}
	return cmd
}
