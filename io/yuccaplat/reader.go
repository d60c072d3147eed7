package yuccaplat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccahead"
)

const (
	// defaultWait is how long a watch waits. With 400 daemons it makes 8 calls a
	// second of the 2,000 that the service allows, and middleboxes that drop silent
	// connections mostly wait longer.
	defaultWait = 50 * time.Second
	// answerTime is what a call may take beyond its waiting, for an answer on a slow
	// link. Without it a connection that went silent would end the watching for good.
	answerTime = 10 * time.Second
	// answerLimit bounds an answer: a page holds at most 1 MB of values, which base64
	// and JSON make a third larger.
	answerLimit yuccaid.Bytes = 4 << 20
)

// Reader reads from the platform's service; its methods may be called from several
// goroutines.
type Reader struct {
	base   string
	client *http.Client
	wait   time.Duration
	sleep  func(ctx context.Context, span time.Duration) error
	random func() float64
	fault  func(err error)
	counts counters
}

// Option changes a new reader.
type Option func(reader *Reader)

// WithClient sets the HTTP client.
func WithClient(client *http.Client) Option {
	return func(reader *Reader) { reader.client = client }
}

// WithWait sets how long a watch waits for a change.
func WithWait(wait time.Duration) Option {
	return func(reader *Reader) { reader.wait = wait }
}

// WithSleep replaces the pauses between calls, for tests.
func WithSleep(sleep func(ctx context.Context, span time.Duration) error) Option {
	return func(reader *Reader) { reader.sleep = sleep }
}

// WithRandom sets the source of the jitter, a number from 0 up to 1 at each call.
func WithRandom(random func() float64) Option {
	return func(reader *Reader) { reader.random = random }
}

// WithFault sets what is called with each failed call of Follow and FollowVMs.
func WithFault(fault func(err error)) Option {
	return func(reader *Reader) { reader.fault = fault }
}

// New returns a reader of the service at an address such as http://10.0.0.2:8500 or
// 10.0.0.2:8500.
func New(address string, options ...Option) *Reader {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	reader := &Reader{
		base:   strings.TrimRight(address, "/"),
		client: &http.Client{},
		wait:   defaultWait,
		sleep:  pause,
		random: rand.Float64,
		fault:  func(error) {},
	}
	for _, option := range options {
		option(reader)
	}
	return reader
}

// Watch returns what changed under the prefix after the revision, and waits for a
// change if there is none; it is one call.
func (reader *Reader) Watch(ctx context.Context, prefix string, after Revision) (Page, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(uint64(after), 10)},
		"waitMillis": {strconv.FormatInt(reader.wait.Milliseconds(), 10)},
	}
	reader.counts.watches.Add(1)
	var page Page
	if err := reader.object(ctx, reader.wait, "/v1/keys?"+query.Encode(), &page); err != nil {
		return Page{}, err
	}
	page.Stale = page.Revision < after
	reader.counts.page(page)
	return page, nil
}

// Get returns a key's value and its revision; it is one call.
func (reader *Reader) Get(ctx context.Context, key string) ([]byte, Revision, error) {
	path := "/v1/keys/" + (&url.URL{Path: key}).EscapedPath()
	reader.counts.gets.Add(1)
	value, answer, err := reader.call(ctx, 0, path)
	if err != nil {
		return nil, 0, err
	}
	if !statesEnd(answer) {
		return nil, 0, reader.failed(newFault(ErrGarbled, path, http.StatusOK, "answer has neither a length nor chunks"))
	}
	revision, err := strconv.ParseUint(answer.Header.Get("X-Revision"), 10, 64)
	if err != nil {
		return nil, 0, reader.failed(newFault(ErrGarbled, path, http.StatusOK, "header X-Revision is no number"))
	}
	return value, Revision(revision), nil
}

// statesEnd reports whether the answer says where its body ends. A body that ends with its connection
// may be a part of the value; compressed bodies and JSON objects show that by themselves.
func statesEnd(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0 || answer.Uncompressed
}

// VMs returns the platform's list of VMs, which lags behind; it is one call.
func (reader *Reader) VMs(ctx context.Context) ([]VM, error) {
	reader.counts.lists.Add(1)
	var list vmList
	err := reader.object(ctx, 0, "/v1/vms", &list)
	return list.decode(), err
}

func (reader *Reader) object(ctx context.Context, wait time.Duration, path string, into any) error {
	raw, _, err := reader.call(ctx, wait, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return reader.failed(newFault(ErrGarbled, path, http.StatusOK, err.Error()))
	}
	return nil
}

// call makes one GET and reads its whole answer within the time that it may take. It returns the body
// and the answer, whose own body is closed.
func (reader *Reader) call(ctx context.Context, wait time.Duration, path string) ([]byte, *http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, reader.base+path, nil)
	if err != nil {
		return nil, nil, reader.failed(newFault(ErrUnreachable, path, 0, err.Error()))
	}
	answer, err := reader.client.Do(request)
	if err != nil {
		return nil, nil, reader.failed(newFault(ErrUnreachable, path, 0, err.Error()))
	}
	defer answer.Body.Close()
	if err := yuccahead.Check(answer); err != nil {
		return nil, nil, reader.failed(newFault(ErrGarbled, path, answer.StatusCode, err.Error()))
	}
	raw, err := io.ReadAll(io.LimitReader(answer.Body, int64(answerLimit)+1))
	switch {
	case answer.StatusCode != http.StatusOK:
		return nil, nil, reader.failed(newFault(kindOf(answer.StatusCode), path, answer.StatusCode, answer.Status))
	case err != nil:
		return nil, nil, reader.failed(newFault(ErrUnreachable, path, answer.StatusCode, err.Error()))
	case yuccaid.Bytes(len(raw)) > answerLimit:
		detail := fmt.Sprintf("answer exceeds %d bytes", answerLimit)
		return nil, nil, reader.failed(newFault(ErrGarbled, path, answer.StatusCode, detail))
	}
	return raw, answer, nil
}

func kindOf(status int) error {
	switch status {
	case http.StatusTooManyRequests:
		return ErrLimited
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return ErrRefused
	}
}

func (reader *Reader) failed(fault *Fault) error {
	reader.counts.failed(fault)
	return eris.Wrap(fault, "reading from the platform")
}

func pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
