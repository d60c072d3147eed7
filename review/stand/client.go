package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// requestTimeout is the time for which a client waits in all.
const requestTimeout = 15 * time.Second

// streamed is what a client has received of one stream, over all its attempts.
type streamed struct {
	// data has the data of the events by their numbers, last is the number of the last event.
	data map[int]string
	last int
	// whole says that the response ended as a complete one, gap that events came twice or are missing.
	whole bool
	gap   string
	// from are the replicas that signed the attempts.
	from []string
}

// versions returns the versions that wrote the text, in the order in which they first appear.
func (got *streamed) versions() []string {
	var list []string
	for number := 1; number <= got.last; number++ {
		version := got.data[number]
		if version != "" && (len(list) == 0 || list[len(list)-1] != version) {
			list = append(list, version)
		}
	}
	return list
}

// attempt sends a request for a stream to a daemon, after the last event that the client has, and adds what arrives.
func (flt *fleet) attempt(ctx context.Context, dmn *daemon, id, prompt string, answer int, got *streamed) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dmn.callers+"/note/1", strings.NewReader("a transcript"))
	if err != nil {
		return 0, err
	}
	req.Host = "desk.example"
	req.Header.Set("Yuccacleat-Attempt-Id", id)
	req.Header.Set("Yuccacleat-Model-Name", "m")
	req.Header.Set("Yuccacleat-Token-Counts", fmt.Sprintf("460,%d", answer))
	req.Header.Set("Yuccacleat-Prompt-Prefix", prompt)
	req.Header.Set("Yuccacleat-Key", "i9n73hh2b9wu3fexd9dn")
	if deadline, limited := ctx.Deadline(); limited {
		req.Header.Set("Yuccacleat-Deadline-Remaining", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if got.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(got.last))
	}
	flt.record.add("client sends %s to %s, after event %d", id, dmn.name, got.last)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	got.from = append(got.from, resp.Header.Get("Yuccacleat-Response-Signature"))
	lines := bufio.NewScanner(resp.Body)
	number := 0
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			number, _ = strconv.Atoi(text)
		}
		if text, found := strings.CutPrefix(lines.Text(), "data: "); found {
			if number != got.last+1 {
				got.gap = fmt.Sprintf("event %d follows event %d", number, got.last)
			}
			got.data[number], got.last = text, number
		}
	}
	got.whole = lines.Err() == nil
	return resp.StatusCode, lines.Err()
}

// follow reads a stream, and takes it up once at another daemon if it breaks off, as the users' clients do.
func (flt *fleet) follow(id, prompt string, answer int, first, second *daemon) *streamed {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	got := &streamed{data: make(map[int]string)}
	status, err := flt.attempt(ctx, first, id+"a", prompt, answer, got)
	flt.record.add("client got %d for %sa: %d events, whole %t, %v", status, id, got.last, got.whole, err)
	if got.whole || errors.Is(err, context.DeadlineExceeded) {
		return got
	}
	time.Sleep(100 * time.Millisecond)
	status, err = flt.attempt(ctx, second, id+"b", prompt, answer, got)
	flt.record.add("client got %d for %sb: %d events, whole %t, %v", status, id, got.last, got.whole, err)
	return got
}
