package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"yuccacleat/io/yuccagate"
)

// maxOutlookBytes bounds the answer of one daemon, which has a few hundred bytes for each target of a pool.
const maxOutlookBytes = 4 << 20

// requestHead is a request as its caller would send it, without its body.
type requestHead struct {
	path, host string
	// fields are header fields, each a name and a value with a colon between.
	fields []string
}

// whereCommand returns the command that asks daemons where a request would go.
func whereCommand() *cobra.Command {
	var head requestHead
	var daemonsPath string
	command := &cobra.Command{
		Use:   "where PATH",
		Short: "Show where a request would go now, and why, without sending it",
		Long: `where asks running daemons where a request with the given head would go now. It shows,
for each data centre, the target that the daemon which decides there would choose, what
that daemon expects, and why other targets can't be used. Nothing is sent to a target or
counted against a quota.

The path, the host and the header fields are those that the caller would send. The file
has one operator address on each line.`,
		Example: "  yuccacleat where --daemons daemons.txt --host desk.example --header 'Authorization: Bearer …' /notes/",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			head.path = args[0]
			if err := head.check(); err != nil {
				return &invalidError{cause: err}
			}
			return where(command, daemonsPath, head)
		},
	}
	flags := command.Flags()
	flags.StringVar(&daemonsPath, "daemons", "", "a file with the operator addresses of the daemons to ask, one on each line")
	flags.StringVar(&head.host, "host", "", "the host that the request names")
	flags.StringArrayVar(&head.fields, "header", nil, "a header field of the request, 'Name: value'; may be repeated")
	_ = command.MarkFlagRequired("daemons")
	_ = command.MarkFlagRequired("host")
	return command
}

// check returns an error if no request can have such a head.
func (head requestHead) check() error {
	if !strings.HasPrefix(head.path, "/") {
		return fmt.Errorf("path %q doesn't begin with a slash: name the path that the caller would request", head.path)
	}
	for _, field := range head.fields {
		if name, _, found := strings.Cut(field, ":"); !found || strings.TrimSpace(name) == "" {
			return fmt.Errorf("header field %q has no name: write it as 'Name: value'", field)
		}
	}
	return nil
}

// where prints what the daemons answer.
func where(command *cobra.Command, path string, head requestHead) error {
	addresses, err := readAddresses(path)
	if err != nil {
		return err
	}
	outlooks, unreachable := askDaemons(command.Context(), addresses, head.ask)
	if len(unreachable) > 0 {
		fmt.Fprintf(command.ErrOrStderr(), "%d of %d daemons didn't answer, and what they know is missing: %s\n",
			len(unreachable), len(addresses), strings.Join(unreachable, " "))
	}
	if len(outlooks) == 0 {
		return fmt.Errorf("no daemon answered: check that %s lists operator addresses of running daemons", path)
	}
	writeOutlooks(command.OutOrStdout(), outlooks)
	return nil
}

// ask asks the daemon at an operator address.
func (head requestHead) ask(ctx context.Context, client *http.Client, address string) (yuccagate.Outlook, error) {
	var out yuccagate.Outlook
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/where"+head.path, nil)
	if err != nil {
		return out, err
	}
	req.Host = head.host
	for _, field := range head.fields {
		name, value, _ := strings.Cut(field, ":")
		req.Header.Set(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	reply, err := client.Do(req)
	if err != nil {
		return out, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return out, fmt.Errorf("daemon at %s answered HTTP %d: check that it is an operator address of a daemon that knows this question",
			address, reply.StatusCode)
	}
	return out, json.NewDecoder(io.LimitReader(reply.Body, maxOutlookBytes)).Decode(&out)
}
