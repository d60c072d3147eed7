package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccacaller"
	"yuccacleat/io/yuccadaemon"
)

const operatorTimeout = 10 * time.Second

// get reads JSON from a daemon's operator address.
func get(address, path string, into any) error {
	client := &http.Client{Timeout: operatorTimeout}
	reply, err := client.Get("http://" + address + path)
	if err != nil {
		return fmt.Errorf("daemon at %s doesn't answer: check its operator address: %w", address, err)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return fmt.Errorf("daemon at %s answered HTTP %d: check that it is an operator address", address, reply.StatusCode)
	}
	return json.NewDecoder(reply.Body).Decode(into)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func statusCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:     "status ADDRESS...",
		Short:   "Show daemons: configuration, peers, pools led, waiting and running",
		Example: "  yuccacleat status 127.0.0.1:7003\n  yuccacleat status --json 127.0.0.1:7003",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			for _, address := range args {
				var status yuccadaemon.Status
				if err := get(address, "/v1/status", &status); err != nil {
					return err
				}
				if err := printStatus(command.OutOrStdout(), status, asJSON); err != nil {
					return err
				}
			}
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

func printStatus(out io.Writer, status yuccadaemon.Status, asJSON bool) error {
	if asJSON {
		return printJSON(out, status)
	}
	fmt.Fprintf(out, "%s in %s: ready=%t leaving=%t configuration %d (%.12s), %d live daemons, leads %d pools\n",
		status.VM, status.Centre, status.Ready, status.Leaving, status.Number, status.Digest, len(status.Peers), len(status.Leads))
	for tier, waiting := range status.Waiting {
		fmt.Fprintf(out, "  tier %s: %d waiting\n", tier, waiting)
	}
	for tier, running := range status.Running {
		fmt.Fprintf(out, "  tier %s: %d running\n", tier, running)
	}
	return nil
}

func auditCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:     "audit ADDRESS",
		Short:   "Show the trail of changes that a daemon has seen",
		Example: "  yuccacleat audit 127.0.0.1:7003",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var entries []yuccadaemon.AuditEntry
			if err := get(args[0], "/v1/audit", &entries); err != nil {
				return err
			}
			if asJSON {
				return printJSON(command.OutOrStdout(), entries)
			}
			for _, entry := range entries {
				fmt.Fprintf(command.OutOrStdout(), "%s %s %s %s configuration %d %s\n",
					entry.At.UTC().Format(time.RFC3339), entry.Kind, entry.Who, entry.What, entry.Number, entry.Detail)
			}
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// requestFlags are what a request needs besides its prompt.
type requestFlags struct {
	address    string
	secretFile string
	request    yuccadaemon.Request
	deadline   time.Duration
	asJSON     bool
}

func requestCommand() *cobra.Command {
	var flags requestFlags
	command := &cobra.Command{
		Use:   "request --at ADDRESS --secret-file FILE --pool POOL --operation OP --tier TIER [PROMPT]",
		Short: "Send one request and print its whole answer",
		Long: `request opens a request and submits it once. The secret is read from a file, so that
it stands in no process list. The exit code is 0 only for a whole answer.`,
		Example: "  yuccacleat request --at 127.0.0.1:7001 --secret-file desk.secret --pool draft --operation generate --tier urgent \"Route briefing for stage 3\"",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if len(args) == 1 {
				flags.request.Prompt = args[0]
			}
			return sendRequest(command, flags)
		},
	}
	set := command.Flags()
	set.StringVar(&flags.address, "at", "", "a daemon's caller address")
	set.StringVar(&flags.secretFile, "secret-file", "", "a file with the client account's secret")
	set.StringVar((*string)(&flags.request.Pool), "pool", "", "the pool that serves the request")
	set.StringVar((*string)(&flags.request.Operation), "operation", "", "the operation of the pool")
	set.StringVar((*string)(&flags.request.Tier), "tier", "", "the priority tier")
	set.DurationVar(&flags.deadline, "deadline", time.Minute, "the time the answer may take")
	set.Int64Var((*int64)(&flags.request.AnswerTokens), "answer-tokens", 0, "the expected length of the answer")
	set.BoolVar(&flags.asJSON, "json", false, "print the end as JSON")
	for _, name := range []string{"at", "secret-file", "pool", "operation", "tier"} {
		_ = command.MarkFlagRequired(name)
	}
	return command
}

func sendRequest(command *cobra.Command, flags requestFlags) error {
	secret, err := os.ReadFile(flags.secretFile)
	if err != nil {
		return &invalidError{cause: err}
	}
	flags.request.DeadlineMillis = flags.deadline.Milliseconds()
	client := yuccacaller.New(trimLine(secret))
	defer client.Close()
	id, err := client.Open(command.Context(), flags.address)
	if err != nil {
		return err
	}
	answer, err := client.Submit(command.Context(), flags.address, id, flags.request)
	if err != nil {
		return fmt.Errorf("request %s: %w", id, err)
	}
	return printAnswer(command.OutOrStdout(), id, answer, flags.asJSON)
}

func printAnswer(out io.Writer, id yuccaid.RequestID, answer *yuccacaller.Answer, asJSON bool) error {
	if asJSON {
		return printJSON(out, answer.End)
	}
	fmt.Fprintf(out, "%s\n", answer.Data)
	if answer.End.Partial || answer.End.Run != "ran" {
		return fmt.Errorf("request %s ended %s (%s): come back in %d ms", id, answer.End.Run, answer.End.Reason, answer.End.RetryAfterMillis)
	}
	return nil
}

func trimLine(raw []byte) string {
	for len(raw) > 0 && (raw[len(raw)-1] == '\n' || raw[len(raw)-1] == '\r') {
		raw = raw[:len(raw)-1]
	}
	return string(raw)
}
