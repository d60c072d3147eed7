package main

import (
	"context"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"yuccacleat/io/yuccameasure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

// common are the flags of every measurement.
type common struct {
	programs string
	lines    string
	limit    time.Duration
}

func newCommand() *cobra.Command {
	flags := &common{}
	root := &cobra.Command{
		Use:   "yuccameasure",
		Short: "Measure what daemons cost, with stand-ins on loopback",
		Long: `yuccameasure starts daemons and stand-ins as processes of its own on loopback, measures
them, and ends them. It prints tables and, with --lines, adds each row to a file of
JSON lines.`,
		SilenceUsage: true,
	}
	root.PersistentFlags().StringVar(&flags.programs, "programs", "", "directory with yuccacleat and yuccastand; built by go when empty")
	root.PersistentFlags().StringVar(&flags.lines, "lines", "", "file to which JSON lines are added")
	root.PersistentFlags().DurationVar(&flags.limit, "limit", 10*time.Minute, "longest time that the measurement may take")
	root.AddCommand(
		relayCommand(flags), membersCommand(flags), pollsCommand(flags), configCommand(flags), fullCommand(flags),
		stateCommand(flags), worthCommand(flags), lossesCommand(flags),
	)
	return root
}

// measureCommand returns a command that takes no arguments.
func measureCommand(use, short, example string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Example: example, Args: cobra.NoArgs}
}

// measurement runs with the programs' paths and writes its tables.
type measurement func(ctx context.Context, programs yuccameasure.Programs, text, lines io.Writer) error

// plannedMeasurement runs with the programs' paths by a plan and writes its tables.
type plannedMeasurement[Plan any] func(ctx context.Context, programs yuccameasure.Programs, plan Plan, text, lines io.Writer) error

// measuring returns the RunE function of a command that measures by a plan, which the command's flags set.
func measuring[Plan any](flags *common, plan *Plan, measure plannedMeasurement[Plan]) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		return flags.run(cmd, func(ctx context.Context, programs yuccameasure.Programs, text, lines io.Writer) error {
			return measure(ctx, programs, *plan, text, lines)
		})
	}
}

// run finds the programs, opens the file of lines and bounds the time.
func (flags *common) run(cmd *cobra.Command, measure measurement) error {
	ctx, stop := context.WithTimeout(cmd.Context(), flags.limit)
	defer stop()
	dir, remove, err := flags.build(ctx)
	if err != nil {
		return err
	}
	defer remove()
	programs := yuccameasure.Programs{Daemon: filepath.Join(dir, "yuccacleat"), Stand: filepath.Join(dir, "yuccastand")}
	return flags.withLines(func(lines *os.File) error { return measure(ctx, programs, cmd.OutOrStdout(), lines) })
}

// withLines opens the file of lines and runs a function with it.
func (flags *common) withLines(measure func(lines *os.File) error) error {
	path := flags.lines
	if path == "" {
		path = os.DevNull
	}
	lines, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "opening the file of lines: name another one with --lines")
	}
	defer lines.Close()
	return measure(lines)
}

// build compiles the measured programs unless a directory with them was named.
func (flags *common) build(ctx context.Context) (dir string, remove func(), err error) {
	if flags.programs != "" {
		return flags.programs, func() {}, nil
	}
	dir, err = os.MkdirTemp("", "yuccameasure-programs")
	if err != nil {
		return "", nil, eris.Wrap(err, "making a directory for programs")
	}
	remove = func() { _ = os.RemoveAll(dir) }
	building := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "yuccacleat/cmd/yuccacleat", "yuccacleat/cmd/yuccastand")
	building.Stderr = os.Stderr
	if err := building.Run(); err != nil {
		remove()
		return "", nil, eris.Wrap(err, "building the programs: run this inside the module or name --programs")
	}
	return dir, remove, nil
}
