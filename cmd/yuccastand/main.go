package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccastand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "yuccastand",
		Short:        "Run a stand-in for the platform, an engine or a plain service",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), plainCommand())
	return root
}

// started is the line that tells where the stand-in listens.
type started struct {
	Listening string `json:"listening"`
}

// run listens, starts a stand-in, and closes it when the context ends.
func run(cmd *cobra.Command, address string, start func(net.Listener) io.Closer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "give another address with --listen")
	}
	stand := start(listener)
	line := started{Listening: listener.Addr().String()}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(line); err != nil {
		return eris.Wrap(err, "print the address")
	}
	<-cmd.Context().Done()
	return stand.Close()
}

func listenFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("listen", "127.0.0.1:0", "ip:port to listen on; port 0 takes a free one")
}

func platformCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "platform", Short: "Run the platform's configuration service", Args: cobra.NoArgs}
	listen := listenFlag(cmd)
	reads := cmd.Flags().Float64("reads", yuccastand.DefaultReads, "calls per second that are answered")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return run(cmd, *listen, func(listener net.Listener) io.Closer {
			return yuccastand.NewPlatform(listener, yuccastand.WithReadRate(*reads, int(*reads)))
		})
	}
	return cmd
}

func engineCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "engine", Short: "Run a model engine", Args: cobra.NoArgs}
	listen := listenFlag(cmd)
	prefill := cmd.Flags().Float64("prefill", float64(yuccastand.DefaultPrefill), "prompt tokens per second, all runs together")
	decode := cmd.Flags().Float64("decode", float64(yuccastand.DefaultDecode), "answer tokens per second for each run")
	slots := cmd.Flags().Int("slots", yuccastand.DefaultSlots, "runs in the batch at once")
	cache := cmd.Flags().Int64("cache", int64(yuccastand.DefaultCache), "tokens that the prefix cache holds")
	block := cmd.Flags().Int64("block", int64(yuccastand.DefaultBlock), "tokens of one block of the prefix cache")
	piece := cmd.Flags().Int64("piece", 1, "tokens of one piece of an answer")
	checks := cmd.Flags().Bool("checks-fence", false, "refuse orders with an old fencing number")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		options := []yuccastand.EngineOption{
			yuccastand.WithRates(yuccaid.TokenRate(*prefill), yuccaid.TokenRate(*decode)),
			yuccastand.WithSlots(*slots),
			yuccastand.WithCache(yuccaid.Tokens(*cache), yuccaid.Tokens(*block)),
			yuccastand.WithPieceTokens(yuccaid.Tokens(*piece)),
		}
		if *checks {
			options = append(options, yuccastand.WithFenceCheck())
		}
		return run(cmd, *listen, func(listener net.Listener) io.Closer {
			return yuccastand.NewEngine(listener, options...)
		})
	}
	return cmd
}

func plainCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "plain", Short: "Run a plain service", Args: cobra.NoArgs}
	listen := listenFlag(cmd)
	work := cmd.Flags().Duration("work", yuccastand.DefaultWork, "how long each call takes")
	slots := cmd.Flags().Int("slots", yuccastand.DefaultPlainSlots, "calls that run at once")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return run(cmd, *listen, func(listener net.Listener) io.Closer {
			return yuccastand.NewPlain(listener, yuccastand.WithWork(*work), yuccastand.WithPlainSlots(*slots))
		})
	}
	return cmd
}
