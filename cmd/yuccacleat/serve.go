package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"yuccacleat/io/yuccaconf"
	"yuccacleat/io/yuccaserve"
)

// memoryLimit makes the garbage collector work harder before a daemon outgrows the
// 256 MB that it is meant to fit; the bounds in the settings keep live memory below.
const memoryLimit = 240 << 20

func serveCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run a daemon",
		Long: `serve runs one daemon until SIGTERM or SIGINT, which shuts it down gracefully. A
second signal ends it at once. The addresses it listens on are printed as one JSON
line; logs go to standard error as JSON lines.`,
		Example: "  yuccacleat serve --settings daemon.yaml",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.OutOrStdout(), command.ErrOrStderr(), path)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "the daemon's settings, in YAML")
	_ = command.MarkFlagRequired("settings")
	return command
}

func serve(out, logs io.Writer, path string) error {
	settings, err := yuccaconf.Load(path)
	if err != nil {
		return &invalidError{cause: err}
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	logger := newLogger(logs, settings)
	proc, err := yuccaserve.Start(settings, settings.FleetKey, logger)
	if err != nil {
		return &invalidError{cause: err}
	}
	if err := json.NewEncoder(out).Encode(proc.Addresses); err != nil {
		return err
	}
	first, second := signals()
	if err := proc.Wait(first.Done()); err != nil {
		return err
	}
	drained := proc.Stop(second)
	_ = level.Info(logger).Log("event", "stopped", "cutOff", drained.CutOff, "undelivered", drained.Undelivered)
	if drained.CutOff > 0 {
		return fmt.Errorf("shut down with %d requests cut off: allow a longer longestDrain", drained.CutOff)
	}
	return nil
}

// signals returns contexts that end with the first and with the second signal.
func signals() (first, second context.Context) {
	first, endFirst := context.WithCancel(context.Background())
	second, endSecond := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		endFirst()
		<-received
		endSecond()
	}()
	return first, second
}

func newLogger(out io.Writer, settings *yuccaconf.Settings) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(out))
	logger = log.With(logger, "at", log.DefaultTimestampUTC, "vm", settings.VM)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(string(settings.Log.Level), level.InfoValue())))
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a daemon's settings without starting it",
		Example: "  yuccacleat check daemon.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			settings, err := yuccaconf.Load(args[0])
			if err != nil {
				return &invalidError{cause: err}
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: settings of %s in %s are good\n", args[0], settings.VM, settings.Centre)
			return nil
		},
	}
}
