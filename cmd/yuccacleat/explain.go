package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"yuccacleat/core/yuccastory"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Tell what became of a request, from the logs of all daemons",
		Long: `explain reads log lines of any number of daemons from standard input, in any order, and
tells what they decided on one request, what they decided it from, and what they
believed at the time.`,
		Example: "  cat edge-*.log | yuccacleat explain 9c41d07be2a35f68",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			story, err := yuccastory.Read(command.InOrStdin(), args[0])
			if errors.Is(err, yuccastory.ErrUnknown) {
				return &invalidError{cause: fmt.Errorf("%s: %w", args[0], err)}
			}
			if err != nil {
				return err
			}
			fmt.Fprint(command.OutOrStdout(), story)
			return nil
		},
	}
}
