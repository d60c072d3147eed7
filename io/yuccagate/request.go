package yuccagate

import (
	"context"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccaspace"
	"yuccacleat/io/yuccahop"
)

const (
	// longestWait bounds a request whose caller and route name no time.
	longestWait = time.Minute
	// notReadyBack is when a caller should come back to a daemon that has just started.
	notReadyBack = 500 * time.Millisecond
	// leavingBack is when a caller should come back to whoever takes over.
	leavingBack = 300 * time.Millisecond
	// refusalTime bounds how long a caller may take to read an answer before it is known how
	// long its request may last, and lastWords how long after that time.
	refusalTime = 5 * time.Second
	lastWords   = 500 * time.Millisecond
)

var errTimeout = errors.New("the request's time is up")

// request is one caller's request on its way.
type request struct {
	gate    *Gate
	w       http.ResponseWriter
	caller  RequestInfo
	table   *yuccaroute.Table
	route   *yuccaroute.Route
	account *yuccaroute.Account
	pool    yuccaid.Pool
	arrived time.Time
	until   time.Time
	out     yuccahop.Outgoing
	header  http.Header
	// held is the memory that was lent to the request.
	held yuccaid.Bytes

	sends int
	tried []yuccaid.Target
	// broke is when the stream that the caller is getting broke off, zero if it didn't.
	broke time.Time
	// arrivals counts the targets that the request reached or may have, and runs those that
	// ran it or may have.
	arrivals int
	runs     int
	// entered says that the request was counted against its quota or refused for it, counted
	// that it was let in, and over that it was though its account is beyond its quota. They
	// belong to the control goroutine until the request has been placed for the first time.
	entered bool
	counted bool
	over    bool
}

// ServeHTTP takes one request from its caller.
func (gate *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{gate: gate, w: w, arrived: time.Now()}
	req.writeUntil(req.arrived.Add(refusalTime))
	if gate.draining() {
		w.Header().Set("Connection", "close")
	}
	// Who is sent away doesn't keep the daemon from ending.
	if gate.sendsAway(req.arrived) {
		req.refuse(&Problem{Kind: KindLeaving, RetryAfter: leavingBack})
		return
	}
	gate.open.Add(1)
	defer gate.open.Add(-1)
	defer req.release()
	if prob := req.admit(r); prob != nil {
		req.refuse(prob)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), req.until, errTimeout)
	defer cancel()
	if prob := req.run(ctx); prob != nil {
		if req.runs == 0 {
			gate.notRun(req)
		}
		req.refuse(prob)
	}
}

// writeUntil bounds the time in which the caller may take its answer.
//
// A caller that stops reading fills its connection, and writing to it stands still. Neither
// the end of the request's time nor the loss of the target wakes a writer, so the target's
// place and the request's memory would be held for as long as the caller likes.
func (req *request) writeUntil(end time.Time) {
	_ = http.NewResponseController(req.w).SetWriteDeadline(end)
}

func (req *request) refuse(prob *Problem) {
	req.gate.metrics.problem(req.shownRank(), prob.Kind, prob.Detail)
	fields := append([]any{
		"kind", prob.Kind, "status", prob.Status(), "detail", prob.Detail, "backMillis", prob.RetryAfter.Milliseconds(),
		"sends", req.sends, "runs", req.runs, "number", req.number(),
	}, prob.inputs...)
	if prob.Kind == KindUnknownKey || prob.Kind == KindNoRoute {
		// Callers without a right to anything may send as many as they like.
		req.went("refused", fields...)
	} else {
		req.told("refused", fields...)
	}
	prob.write(req.w)
}

// admit finds out what is asked, by whom, and whether the configuration allows it.
func (req *request) admit(r *http.Request) *Problem {
	req.table = req.gate.awaitTable(r.Context(), req.arrived)
	if req.table == nil {
		return &Problem{Kind: KindNotReady, RetryAfter: notReadyBack}
	}
	if limit := req.table.Config().Limits.Header; limit > 0 && headBytes(r) > limit {
		return &Problem{Kind: KindLargeHead}
	}
	route, found := req.table.Route(r.Host, r.URL.Path)
	if !found {
		return &Problem{Kind: KindNoRoute}
	}
	req.route = route
	caller, err := req.gate.dialect.ReadRequest(r, route)
	if err != nil {
		return &Problem{Kind: KindMalformed, Detail: err.Error()}
	}
	req.caller = caller
	if prob := req.identify(); prob != nil {
		return prob
	}
	req.pool = route.Pick(mathrand.Float64())
	req.until = req.arrived.Add(req.patience())
	req.writeUntil(req.until.Add(lastWords))
	if !req.hold(yuccaspace.RequestOverhead) {
		return &Problem{Kind: KindBusy, Detail: detailRoom, RetryAfter: roomBack}
	}
	return req.read(r)
}

// headBytes returns about how long a request's head was.
func headBytes(r *http.Request) yuccaid.Bytes {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return yuccaid.Bytes(size)
}

// identify finds the account that holds the request's key.
func (req *request) identify() *Problem {
	if !req.table.RequiresKeys() || req.route.AllowAnonymous {
		return nil
	}
	account, known := req.table.AccountByKey(req.caller.Key)
	if !known {
		return &Problem{Kind: KindUnknownKey}
	}
	req.account = account
	return nil
}

// patience is how long the request may be kept: as long as the caller waits and the route
// allows.
func (req *request) patience() time.Duration {
	wait := longestWait
	if req.caller.Remaining > 0 {
		wait = req.caller.Remaining
	}
	if req.route.Timeout > 0 {
		wait = min(wait, req.route.Timeout)
	}
	return wait
}

// read takes the body. It is read whole before a target is asked for: a caller who sends
// slowly must not hold a target's place, and a target that rejects the request must not
// cost the caller a second upload.
func (req *request) read(r *http.Request) *Problem {
	limit := req.table.Config().Limits.Body
	if limit > 0 && r.ContentLength > int64(limit) {
		return &Problem{Kind: KindTooLarge}
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = io.LimitReader(r.Body, int64(limit)+1)
	}
	control := http.NewResponseController(req.w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(req.until)
	}
	raw, err := readAll(body, r.ContentLength, req.hold)
	if errors.Is(err, errNoRoom) {
		return &Problem{Kind: KindBusy, Detail: detailRoom, RetryAfter: roomBack}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Problem{Kind: KindSlowBody}
	}
	if err != nil {
		return &Problem{Kind: KindMalformed, Detail: "the body broke off"}
	}
	if limit > 0 && len(raw) > int(limit) {
		return &Problem{Kind: KindTooLarge}
	}
	// What ends by the deadline later would count as a caller that left. After a failure it
	// stays, or the server would wait for the rest of the body before it answers.
	_ = control.SetReadDeadline(time.Time{})
	req.header = onwardHeader(r.Header)
	req.out = yuccahop.Outgoing{Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: raw}
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 && r.Header.Get("Content-Length") == "" {
		req.out.Body = nil
	}
	return nil
}

// connectionFields concern one connection and end with it.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// onwardHeader copies the fields that concern more than one connection.
func onwardHeader(from http.Header) http.Header {
	header := from.Clone()
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		header.Del(name)
	}
	return header
}

// ask describes the request to those who decide.
func (req *request) ask() yuccagrant.Request {
	ask := yuccagrant.Request{
		Class: req.class(), Tier: req.tier(), Rank: req.route.Rank, OverQuota: req.over, Prompt: req.caller.Prompt, Answer: req.caller.Answer,
		SoftDeadline: req.arrived.Add(req.route.LatencyTarget), Deadline: req.until, FailedTargets: req.tried,
	}
	if req.route.LatencyTarget <= 0 {
		ask.SoftDeadline = req.until
	}
	if req.route.Kind == yuccaroute.Stream {
		ask.MaxGap = req.route.MaxGap
	}
	heard := req.arrived
	if !req.broke.IsZero() {
		// The caller notices a pause, not how long ago it asked.
		heard = req.broke
		ask.SoftDeadline = req.broke.Add(req.route.MaxGap)
	}
	if req.caller.EventTimeout > 0 && heard.Add(req.caller.EventTimeout).Before(ask.Deadline) {
		ask.Deadline = heard.Add(req.caller.EventTimeout)
	}
	return ask
}

// shownRank is the rank by which metrics tell requests apart: that of the route.
func (req *request) shownRank() int {
	if req.route == nil {
		return -1
	}
	return min(max(req.route.Rank, 0), mostShownRanks)
}

// number is the configuration that the request is handled by.
func (req *request) number() yuccaid.ConfigNumber {
	if req.table == nil {
		return 0
	}
	return req.table.Number()
}

// mostShownRanks bounds the ranks that metrics tell apart.
const mostShownRanks = 9

// tier is the account's rank, which goes before that of the route.
func (req *request) tier() int {
	if req.account != nil && req.account.HasRank {
		return req.account.Rank
	}
	return 0
}

// class is the request's account and route.
func (req *request) class() yuccagrant.Class {
	return yuccagrant.Class(xxhash.Sum64String(string(req.accountName()) + "\x00" + req.route.Name))
}

// onward is what the target is told of the request.
func (req *request) onward(now time.Time, target yuccaid.Target, position string) http.Header {
	header := req.header.Clone()
	onward := ForwardInfo{Target: target, Remaining: req.until.Sub(now), LastEventID: position}
	if req.account != nil {
		onward.Account = req.account.Name
	}
	req.gate.dialect.RewriteHeader(header, onward)
	return header
}
