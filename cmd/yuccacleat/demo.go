package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"yuccacleat/io/yuccademo"
)

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet in this process and show what becomes of real requests",
		Long: `demo starts three daemons and stand-ins for the platform, two engines and a plain
service on loopback ports, sends requests of three tiers, and compares what callers were
told with what really ran. It takes under 20 seconds and needs nothing else.`,
		Example: "  yuccacleat demo",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := yuccademo.Run(command.Context(), command.OutOrStdout())
			if err != nil {
				return err
			}
			if len(report.Mismatches) > 0 {
				return fmt.Errorf("%d outcomes disagree with what really ran: file an issue with the output", len(report.Mismatches))
			}
			return nil
		},
	}
}
