package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// gatherTimeout bounds how long one daemon may take to answer.
	gatherTimeout = 3 * time.Second
	// gatherAtOnce is the number of daemons that are asked at the same time.
	gatherAtOnce = 32
	// maxGatheredBytes bounds the answer of one daemon. A daemon keeps less than that for all requests.
	maxGatheredBytes = 8 << 20
)

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

// asking asks the daemon at an operator address.
type asking[T any] func(ctx context.Context, client *http.Client, address string) (T, error)

// askDaemons asks the daemons at the given operator addresses, several at a time. It returns their answers, and the
// addresses of those that didn't give one.
func askDaemons[T any](ctx context.Context, addresses []string, ask asking[T]) (answers []T, unreachable []string) {
	var mu sync.Mutex
	client := &http.Client{Timeout: gatherTimeout}
	var group errgroup.Group
	group.SetLimit(gatherAtOnce)
	for _, address := range addresses {
		group.Go(func() error {
			answer, err := ask(ctx, client, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, address)
			} else {
				answers = append(answers, answer)
			}
			return nil
		})
	}
	_ = group.Wait()
	return answers, unreachable
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

// readAddresses returns the addresses in a file, one on each line. Empty lines are skipped.
func readAddresses(path string) ([]string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &invalidError{cause: fmt.Errorf("can't read the daemons' addresses: %w", err)}
	}
	addresses := strings.Fields(string(raw))
	if len(addresses) == 0 {
		return nil, &invalidError{cause: fmt.Errorf("%s lists no daemon: write one operator address on each line", path)}
	}
	return addresses, nil
}
