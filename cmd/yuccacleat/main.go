// Command yuccacleat is the scheduler's daemon and the operators' tool.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes; scripts may rely on them.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// version is set by the release build.
var version = "0.1.0-dev"

// invalidError marks input that an operator has to mend.
type invalidError struct {
	cause error
}

func (err *invalidError) Error() string {
	return err.cause.Error()
}

func (err *invalidError) Unwrap() error {
	return err.cause
}

func main() {
	os.Exit(run(root()))
}

func run(command *cobra.Command) int {
	err := command.Execute()
	var invalid *invalidError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &invalid):
		fmt.Fprintln(os.Stderr, "yuccacleat:", err)
		return exitInvalid
	}
	fmt.Fprintln(os.Stderr, "yuccacleat:", err)
	return exitFailed
}

func root() *cobra.Command {
	command := &cobra.Command{
		Use:   "yuccacleat",
		Short: "A request scheduler for a shared fleet of unlike engines",
		Long: `yuccacleat takes requests of several priority tiers, places each on one target of
a shared fleet, and gives every caller its own whole answer.

Exit codes: 0 done, 1 it failed while running, 2 the input has to be mended.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &invalidError{cause: err} })
	command.AddCommand(serveCommand(), checkCommand(), noteCommand(), statusCommand(), auditCommand(), requestCommand(), demoCommand(), versionCommand())
	return command
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  yuccacleat version",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			fmt.Fprintln(command.OutOrStdout(), version)
			return nil
		},
	}
}
