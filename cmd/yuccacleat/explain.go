package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"yuccacleat/core/yuccastory"
)

func explainCommand() *cobra.Command {
	var daemonsPath string
	command := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show what became of a request, from the logs of all daemons",
		Long: `explain reads log lines of any number of daemons from standard input, in any order, and
shows what they decided on one request, the inputs of these decisions, and their own state
changes at the time.

With --daemons it asks the daemons instead. Each one keeps its last log lines about
requests, a few minutes of them. The file has one operator address on each line.`,
		Example: "  cat edge-*.log | yuccacleat explain 9c41d07be2a35f68\n  yuccacleat explain --daemons daemons.txt 9c41d07be2a35f68",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if daemonsPath == "" {
				return explain(command.OutOrStdout(), command.InOrStdin(), args[0])
			}
			return explainFromDaemons(command, daemonsPath, args[0])
		},
	}
	command.Flags().StringVar(&daemonsPath, "daemons", "", "a file with the operator addresses of the daemons to ask, one on each line")
	return command
}

// explain prints what log lines tell of a request.
func explain(out io.Writer, lines io.Reader, request string) error {
	story, err := yuccastory.Read(lines, request)
	if errors.Is(err, yuccastory.ErrUnknown) {
		return &invalidError{cause: fmt.Errorf("%s: %w", request, err)}
	}
	if err != nil {
		return err
	}
	fmt.Fprint(out, story)
	return nil
}

// explainFromDaemons prints what the log lines tell that daemons keep about a request.
func explainFromDaemons(command *cobra.Command, path, request string) error {
	addresses, err := readAddresses(path)
	if err != nil {
		return err
	}
	found := gatherLines(command.Context(), addresses, request)
	if len(found.unreachable) > 0 {
		fmt.Fprintf(command.ErrOrStderr(), "%d of %d daemons didn't answer, and what they know is missing: %s\n",
			len(found.unreachable), len(addresses), strings.Join(found.unreachable, " "))
	}
	return explain(command.OutOrStdout(), &found.lines, request)
}
