package yuccatarget

import (
	"context"
	"net"
	"net/http"
	"time"

	"yuccacleat/core/yuccaid"
)

// Limits of a client, which options change.
const (
	// DefaultProgress is how long a stream may be silent before it is resumed on a new
	// connection. Engines pause for about a second when they swap; a connection that
	// something between has forgotten stays silent for good.
	DefaultProgress = 5 * time.Second
	// DefaultSilence is how long a run may go without a piece in all. The longest prompt
	// waits and prefills for about a minute on a slow engine.
	DefaultSilence = 2 * time.Minute
	// DefaultAttempts is how many resumes in a row may fail before an answer is lost.
	DefaultAttempts = 4
	// DefaultDialTimeout is longer than two lost packets on a link between regions.
	DefaultDialTimeout = 3 * time.Second

	// DefaultReportTimeout is how long a report may take; a later one is of no use for
	// placing.
	DefaultReportTimeout = 3 * time.Second

	// Resumes of one answer come at most this far apart, since a caller waits.
	longestBackoff = 2 * time.Second
	maxDoublings   = 10

	idleTimeout  = 30 * time.Second
	firstBackoff = 50 * time.Millisecond
	headLimit    = 64 << 10
	refusalLimit = 64 << 10
	reportLimit  = 4 << 20
	lineLimit    = 1 << 20
	answerLimit  = 8 << 20
)

// Option changes a client before its first use.
type Option func(*Client)

// WithProgress sets how long a stream may be silent before it is resumed.
func WithProgress(limit time.Duration) Option {
	return func(cl *Client) { cl.progress = limit }
}

// WithSilence sets how long a run may go without a piece in all.
func WithSilence(limit time.Duration) Option {
	return func(cl *Client) { cl.silence = limit }
}

// WithAttempts sets how many resumes in a row may fail.
func WithAttempts(attempts int) Option {
	return func(cl *Client) { cl.attempts = attempts }
}

// WithDialTimeout sets how long a dial may take.
func WithDialTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.dialTimeout = limit }
}

// WithReportTimeout sets how long a report may take.
func WithReportTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.reportTimeout = limit }
}

// WithDial replaces how connections are made.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(cl *Client) { cl.dialer = dial }
}

// Client speaks to targets; its methods may be called at the same time.
//
// Requests, cancels and orders go out on a connection of their own through wire.
// Reports are read over kept connections, because they have no effect and are frequent.
type Client struct {
	progress      time.Duration
	silence       time.Duration
	attempts      int
	dialTimeout   time.Duration
	reportTimeout time.Duration
	dialer        func(ctx context.Context, network, address string) (net.Conn, error)
	reports       *http.Client
}

// New returns a client.
func New(options ...Option) *Client {
	cl := &Client{
		progress:      DefaultProgress,
		silence:       DefaultSilence,
		attempts:      DefaultAttempts,
		dialTimeout:   DefaultDialTimeout,
		reportTimeout: DefaultReportTimeout,
		dialer:        (&net.Dialer{}).DialContext,
	}
	for _, option := range options {
		option(cl)
	}
	cl.reports = newReports(cl.dial, cl.reportTimeout)
	return cl
}

// Close ends the kept connections.
func (cl *Client) Close() {
	cl.reports.CloseIdleConnections()
}

func (cl *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.dialTimeout)
	defer cancel()
	return cl.dialer(ctx, network, address)
}

// Call is one request for a target.
type Call struct {
	ID        yuccaid.RequestID
	Target    yuccaid.Target
	Address   string
	Pool      yuccaid.Pool
	Operation yuccaid.Operation
	// Plain calls a plain service, whose answers can't be resumed.
	Plain bool
	// Idempotent changes only the advice in errors: every call is sent once.
	Idempotent bool
	Body       []byte
	Fence      yuccaid.ConfigNumber
	// Ready, if given, is called once the connection stands, right before the first byte.
	// Its error keeps the call from being sent. A dial takes up to seconds, in which the
	// deadline passes or the target is withdrawn.
	Ready func() error
	// Longest is how long the call may go without a piece; 0 means the client's limit.
	Longest time.Duration
}

func (call Call) ready() error {
	if call.Ready == nil {
		return nil
	}
	return call.Ready()
}

// Piece is one part of an answer.
type Piece struct {
	Position int
	Tokens   yuccaid.Tokens
	Data     []byte
}

// End is what a target says of a whole answer.
type End struct {
	Pieces  int
	Hash    string
	Prompt  yuccaid.Tokens
	Cached  yuccaid.Tokens
	Answer  yuccaid.Tokens
	Prefill time.Duration
	Decode  time.Duration
}
