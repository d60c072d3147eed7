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

	"yuccacleat/core/yuccaid"
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
	root.AddCommand(relayCommand(flags), membersCommand(flags), pollsCommand(flags), configCommand(flags), fullCommand(flags), stateCommand(flags), worthCommand(flags), lossesCommand(flags))
	return root
}

// measurement runs with the programs' paths and writes its tables.
type measurement func(ctx context.Context, programs yuccameasure.Programs, text, lines io.Writer) error

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
	return flags.alone(func(lines *os.File) error { return measure(ctx, programs, cmd.OutOrStdout(), lines) })
}

// alone runs a measurement that starts no processes.
func (flags *common) alone(measure func(lines *os.File) error) error {
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

func membersCommand(flags *common) *cobra.Command {
	var plan yuccameasure.MembersPlan
	var answer int64
	var decode float64
	cmd := &cobra.Command{
		Use:     "members",
		Short:   "Measure control traffic, processor time and memory against the number of daemons",
		Example: "  yuccameasure members --sizes 3,7,14",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().IntVar(&plan.Centres, "centres", 1, "data centres")
	cmd.Flags().IntSliceVar(&plan.Sizes, "sizes", []int{3, 7, 14, 28, 56}, "daemons of each data centre, one fleet after the other")
	cmd.Flags().DurationVar(&plan.Quiet, "quiet", 20*time.Second, "time without requests")
	cmd.Flags().DurationVar(&plan.Load, "load", 10*time.Second, "time with requests")
	cmd.Flags().Float64Var(&plan.Rate, "rate", 3, "requests a second for each daemon")
	cmd.Flags().Int64Var(&answer, "answer", 32, "tokens of an answer")
	cmd.Flags().Float64Var(&decode, "decode", 400, "tokens per second of each answer")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		plan.Answer, plan.Decode = yuccaid.Tokens(answer), yuccaid.TokenRate(decode)
		return flags.run(cmd, func(ctx context.Context, programs yuccameasure.Programs, text, lines io.Writer) error {
			return yuccameasure.Members(ctx, programs, plan, text, lines)
		})
	}
	return cmd
}

func relayCommand(flags *common) *cobra.Command {
	var plan yuccameasure.RelayPlan
	var answer, tokens int64
	cmd := &cobra.Command{
		Use:     "relay",
		Short:   "Measure added time, processor time for relayed tokens and memory with streams open",
		Example: "  yuccameasure relay --requests 100",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().IntVar(&plan.Requests, "requests", 400, "requests timed on each way")
	cmd.Flags().Int64Var(&answer, "answer", 64, "tokens of a timed answer")
	cmd.Flags().IntSliceVar(&plan.Streams, "streams", []int{0, 125, 250, 375, 500}, "streams held open at once")
	cmd.Flags().IntVar(&plan.Busy, "busy", 32, "streams at once for the processor time")
	cmd.Flags().Int64Var(&tokens, "tokens", 64_000, "tokens relayed for each length of answer")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		plan.Answer, plan.Tokens = yuccaid.Tokens(answer), yuccaid.Tokens(tokens)
		return flags.run(cmd, func(ctx context.Context, programs yuccameasure.Programs, text, lines io.Writer) error {
			return yuccameasure.Relay(ctx, programs, plan, text, lines)
		})
	}
	return cmd
}

func pollsCommand(flags *common) *cobra.Command {
	var plan yuccameasure.PollsPlan
	cmd := &cobra.Command{
		Use:     "polls",
		Short:   "Measure a pool leader's processor time against the targets that it reads",
		Example: "  yuccameasure polls --targets 1,8",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().IntSliceVar(&plan.Targets, "targets", []int{1, 8, 32, 64, 128}, "targets of the pool, one fleet after the other")
	cmd.Flags().DurationVar(&plan.Quiet, "quiet", 15*time.Second, "time without requests")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return flags.run(cmd, func(ctx context.Context, programs yuccameasure.Programs, text, lines io.Writer) error {
			return yuccameasure.Polls(ctx, programs, plan, text, lines)
		})
	}
	return cmd
}

func configCommand(flags *common) *cobra.Command {
	var plan yuccameasure.ConfigPlan
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Measure how fast release notes take hold and what daemons read of the platform",
		Example: "  yuccameasure config --sizes 7 --notes 20",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().IntSliceVar(&plan.Sizes, "sizes", []int{7, 28}, "daemons, one fleet after the other")
	cmd.Flags().IntVar(&plan.Notes, "notes", 100, "release notes published one by one")
	cmd.Flags().DurationVar(&plan.Quiet, "quiet", 70*time.Second, "time without notes; watches last up to a minute")
	cmd.Flags().DurationVar(&plan.Outage, "outage", 20*time.Second, "time that the platform's service is away")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return flags.run(cmd, func(ctx context.Context, programs yuccameasure.Programs, text, lines io.Writer) error {
			return yuccameasure.Config(ctx, programs, plan, text, lines)
		})
	}
	return cmd
}

func fullCommand(flags *common) *cobra.Command {
	var plan yuccameasure.FullPlan
	cmd := &cobra.Command{
		Use:     "full",
		Short:   "Measure a fleet whose configuration has the aimed size, and daemons that join it",
		Example: "  yuccameasure full --daemons 3 --notes 5",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().IntVar(&plan.Daemons, "daemons", 7, "daemons of the fleet")
	cmd.Flags().IntVar(&plan.Notes, "notes", 10, "release notes published one by one")
	cmd.Flags().IntVar(&plan.Newcomers, "newcomers", 3, "daemons that join, one after the other")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return flags.run(cmd, func(ctx context.Context, programs yuccameasure.Programs, text, lines io.Writer) error {
			return yuccameasure.Full(ctx, programs, plan, text, lines)
		})
	}
	return cmd
}

func stateCommand(flags *common) *cobra.Command {
	var plan yuccameasure.StatePlan
	cmd := &cobra.Command{
		Use:     "state",
		Short:   "Measure, in this process, what configuration, pool leaders and owners take",
		Example: "  yuccameasure state --repeat 3",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().IntVar(&plan.Repeat, "repeat", 9, "times that each step is timed; the median counts")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return flags.alone(func(lines *os.File) error {
			return yuccameasure.State(plan, cmd.OutOrStdout(), lines)
		})
	}
	return cmd
}

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
			if plot != "" {
				svg, err := yuccameasure.DrawWorth(points)
				if err != nil {
					return err
				}
				if err := os.WriteFile(plot, svg, 0o644); err != nil {
					return err
				}
			}
			return flags.alone(func(lines *os.File) error { return yuccameasure.WriteWorth(points, cmd.OutOrStdout(), lines) })
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
			if plot != "" {
				svg, err := yuccameasure.DrawLosses(paths[0])
				if err != nil {
					return err
				}
				if err := os.WriteFile(plot, svg, 0o644); err != nil {
					return err
				}
			}
			return flags.alone(func(lines *os.File) error { return yuccameasure.WriteLosses(rows, cmd.OutOrStdout(), lines) })
		},
	}
	cmd.Flags().StringVar(&plot, "plot", "", "SVG file to draw the course of the first day to")
	return cmd
}
