package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	clientHost = "ficu95.example"
	clientKey  = "i9n73hh2b9wu3fexd9dn"
)

// call is one client attempt.
type call struct {
	id, path, lastEventID, prompt, counts string
	body                                  string
	remaining                             time.Duration
}

// event is an event of a stream as the client got it.
type event struct {
	id   int
	data string
}

// answer is what a client got for an attempt.
type answer struct {
	status     int
	signature  string
	retryAfter time.Duration
	events     []event
	body       string
	// whole says whether the answer ended as complete.
	whole bool
	err   error
}

// send sends an attempt to a machine on a new connection.
func (rg *rig) send(ctx context.Context, edg *edge, one call) answer {
	ctx, cancel := context.WithTimeout(ctx, one.remaining)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edg.callers+one.path, strings.NewReader(one.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = clientHost
	for name, value := range map[string]string{
		"Yuccacleat-Attempt-Id": one.id, "Yuccacleat-Key": clientKey, "Last-Event-Id": one.lastEventID,
		"Yuccacleat-Prompt-Prefix": one.prompt, "Yuccacleat-Token-Counts": one.counts,
		"Yuccacleat-Deadline-Remaining": strconv.FormatInt(one.remaining.Milliseconds(), 10),
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if one.prompt != "" {
		req.Header.Set("Yuccacleat-Model-Name", "m")
	}
	rg.rec.line("client sends %s to %s: %s after event %q, prompt %s", one.id, edg.at.name, one.path, one.lastEventID, one.prompt)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		rg.rec.line("client of %s gets no answer: %v", one.id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	got := answer{status: resp.StatusCode, signature: resp.Header.Get("Yuccacleat-Response-Signature")}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		got.events, got.err = readEvents(resp.Body)
	} else {
		var raw []byte
		raw, got.err = io.ReadAll(resp.Body)
		got.body = string(raw)
	}
	got.whole = got.err == nil
	rg.rec.line("client of %s gets %d, %s, whole: %t", one.id, got.status, got.text(), got.whole)
	return got
}

// text says what the answer holds, for the record.
func (got *answer) text() string {
	if len(got.events) == 0 {
		return strconv.Quote(strings.TrimSpace(got.body))
	}
	first, last := got.events[0], got.events[len(got.events)-1]
	return fmt.Sprintf("%d events, from %d %q to %d %q", len(got.events), first.id, first.data, last.id, last.data)
}

// readEvents reads a stream to its end. The error is nil if it ended as complete.
func readEvents(body io.Reader) ([]event, error) {
	var events []event
	var now event
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		switch name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": "); name {
		case "id":
			now.id, _ = strconv.Atoi(value)
		case "data":
			now.data = value
		case "":
			events = append(events, now)
			now = event{}
		}
	}
}
