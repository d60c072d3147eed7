package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// maxGatheredBytes bounds the answer of one daemon. A daemon keeps less than that for all requests.
const maxGatheredBytes = 8 << 20

// gathered holds the log lines that daemons keep about one request.
type gathered struct {
	lines bytes.Buffer
	// unreachable lists the daemons that didn't answer.
	unreachable []string
}

// gatherLines asks the daemons at the given operator addresses for their log lines about a request.
func gatherLines(ctx context.Context, addresses []string, request string) *gathered {
	found := &gathered{}
	answers, unreachable := askDaemons(ctx, addresses, func(ctx context.Context, client *http.Client, address string) ([]byte, error) {
		return getLines(ctx, client, address, request)
	})
	found.unreachable = unreachable
	for _, lines := range answers {
		found.lines.Write(lines)
	}
	return found
}

// getLines returns the log lines that one daemon keeps about a request, none if it keeps none.
func getLines(ctx context.Context, client *http.Client, address, request string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/requests/"+url.PathEscape(request), nil)
	if err != nil {
		return nil, err
	}
	reply, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	switch reply.StatusCode {
	case http.StatusOK:
		return readLines(reply.Body, address)
	case http.StatusNotFound:
		return nil, nil
	}
	return nil, fmt.Errorf("daemon at %s answered HTTP %d: check that it is an operator address", address, reply.StatusCode)
}

// readLines reads a daemon's lines to their end, which is the end of a line.
func readLines(body io.Reader, address string) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxGatheredBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxGatheredBytes || len(raw) > 0 && raw[len(raw)-1] != '\n' {
		return nil, fmt.Errorf("answer of the daemon at %s is truncated: ask it again, or take its log", address)
	}
	return raw, nil
}
