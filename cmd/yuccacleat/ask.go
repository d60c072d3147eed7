package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// askTimeout bounds how long one daemon may take to answer.
	askTimeout = 3 * time.Second
	// askedAtOnce is the number of daemons that are asked at the same time.
	askedAtOnce = 32
)

// asking asks the daemon at an operator address.
type asking[T any] func(ctx context.Context, client *http.Client, address string) (T, error)

// askDaemons asks the daemons at the given operator addresses, several at a time. It returns their answers, and the
// addresses of those that didn't give one.
func askDaemons[T any](ctx context.Context, addresses []string, ask asking[T]) (answers []T, unreachable []string) {
	var mu sync.Mutex
	client := &http.Client{Timeout: askTimeout}
	var group errgroup.Group
	group.SetLimit(askedAtOnce)
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
