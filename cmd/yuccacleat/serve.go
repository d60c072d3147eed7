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
	"yuccacleat/io/yuccalog"
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
second signal ends it at once. The first line that it prints are the addresses it
listens on, in JSON; its log follows, as JSON lines too.`,
		Example: "  yuccacleat serve --settings daemon.yaml",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.OutOrStdout(), path)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "the daemon's settings, in YAML")
	_ = command.MarkFlagRequired("settings")
	return command
}

func serve(out io.Writer, path string) error {
	settings, err := yuccaconf.Load(path)
	if err != nil {
		return &invalidError{cause: err}
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	addressesTold := make(chan struct{})
	lines := yuccalog.New(&laterWriter{out: out, from: addressesTold}, yuccalog.WithFields("vm", settings.VM))
	defer lines.Close()
	logger := newLogger(lines, settings)
	proc, err := yuccaserve.Start(settings, settings.FleetKey, logger)
	if err != nil {
		return &invalidError{cause: err}
	}
	err = json.NewEncoder(out).Encode(proc.Addresses)
	close(addressesTold)
	if err != nil {
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

// laterWriter holds what is written until something else has been, so that scripts find the
// addresses in the first line. Only the log's own goroutine waits here.
type laterWriter struct {
	out  io.Writer
	from <-chan struct{}
}

// Write waits and then writes.
func (wr *laterWriter) Write(line []byte) (int, error) {
	<-wr.from
	return wr.out.Write(line)
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

func newLogger(lines *yuccalog.Log, settings *yuccaconf.Settings) log.Logger {
	logger := log.With(lines, "at", log.DefaultTimestampUTC, "vm", settings.VM)
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
