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

// run executes the command line. What fails before a command begins, such as an
// unknown command or a missing argument, is input to be mended.
func run(command *cobra.Command) int {
	began := false
	command.PersistentPreRun = func(*cobra.Command, []string) { began = true }
	err := command.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "yuccacleat:", err)
	var invalid *invalidError
	if !began || errors.As(err, &invalid) {
		return exitInvalid
	}
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
	command.AddCommand(
		serveCommand(), checkCommand(), noteCommand(), statusCommand(), auditCommand(), requestCommand(),
		demoCommand(), trialCommand(), explainCommand(), whereCommand(), versionCommand(),
	)
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
