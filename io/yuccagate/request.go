package yuccagate

import (
	"context"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquarantine"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccaspace"
	"yuccacleat/io/yuccahop"
)

const (
	// defaultTimeout bounds the time of a request whose caller states no remaining time.
	defaultTimeout = time.Minute
	// notReadyRetryAfter is the retry-after of a daemon that has no configuration yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// leavingRetryAfter is the retry-after of a draining daemon. It is short because another
	// daemon serves the retry.
	leavingRetryAfter = 300 * time.Millisecond
	// refusalWriteTimeout bounds the writing of a refusal, and of a response while the request's
	// deadline isn't known yet. writeGrace is how long after the deadline a response may still be written.
	refusalWriteTimeout = 5 * time.Second
	// unreadBodyTimeout bounds the wait for a body of a refused request, which the server reads to its end before it sends
	// the refusal if it isn't long.
	unreadBodyTimeout = time.Second
	writeGrace        = 500 * time.Millisecond
)

var errTimeout = errors.New("the request's time is up")

// callerRequest is one request of a caller, from its arrival to the end of its response.
type callerRequest struct {
	gate *Gate
	w    http.ResponseWriter
	// conn is the caller's connection, nil if the request didn't come through a Listener. unframed is the same if the response
	// can only end by a close, nil if it can come in chunks.
	conn, unframed *callerConn
	// headMemory is what the request's head takes beyond an ordinary one.
	headMemory yuccaid.Bytes
	info       RequestInfo
	// table is the configuration that applies to the request, even if it changes meanwhile.
	table   *yuccaroute.Table
	route   *yuccaroute.Route
	account *yuccaroute.Account
	pool    yuccaid.Pool
	// path is the path of the request's URL, by which a configuration selects its route.
	path      string
	arrivedAt time.Time
	deadline  time.Time
	// outgoing is the request as it is sent to targets. Its header is derived from forwardHeader,
	// the caller's header without fields that concern only one connection.
	outgoing      yuccahop.Outgoing
	forwardHeader http.Header
	// bodyRead reports whether the request's body has been read to its end.
	bodyRead bool
	// traits are the traits of the request on which targets may crash, its shared parts first. Content is that of its whole
	// content, which the request has once its body has been read.
	traits  []yuccaquarantine.Trait
	content yuccaquarantine.Trait
	// reserved is the memory that is reserved for the request, in bytes. Attempts that go on side by side
	// reserve some for themselves.
	reserved atomic.Int64
	// eventBuffers are the buffers of attempts that have ended.
	eventBuffers []*eventBuffer

	// sends is the number of attempts to have the request served, and tried holds the target of
	// each attempt.
	sends int
	tried []yuccaid.Target
	// bound reports whether only targets of the version may serve the request, because its caller has
	// events of that version. The version is empty if no target may.
	bound   bool
	version yuccaid.Version
	// arrivals counts the attempts that reached or may have reached a target. runs counts the
	// attempts that a target ran or may have run.
	arrivals int
	runs     int
	// trial reports whether the request tries traits that are held back, so that it is sent to one target only.
	trial bool
	// start decides whether the response begins before the daemon leaves.
	start *responseStart
	// resend is what the request has charged to the budget of resends.
	resend resendCharge
	// quotaChecked reports whether the quota has been checked. chargedBy is the daemon that admitted
	// the request and counted it against the quota of its account. It is zero if the request isn't
	// counted. quotaAskedAt is when the quota was asked for, so it was charged no earlier. overQuota
	// reports whether the request was admitted beyond the account's quota, within the tolerance. All
	// four fields belong to the control goroutine until the first decision on the request.
	quotaChecked bool
	chargedBy    yuccaid.Incarnation
	quotaAskedAt time.Time
	overQuota    bool
}

// bind binds a request to targets of a version, because its caller has events of that version.
func (req *callerRequest) bind(version yuccaid.Version) {
	req.bound, req.version = true, version
}

// ServeHTTP serves one request of a caller.
func (gate *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &callerRequest{gate: gate, w: w, conn: connOf(r), arrivedAt: time.Now(), resend: resendCharge{gate: gate}}
	req.beginOnConn(r)
	req.setWriteDeadline(req.arrivedAt.Add(refusalWriteTimeout))
	// The request counts as open before the check, so that the drain can't end between the check
	// and the count.
	gate.openRequests.Add(1)
	defer gate.openRequests.Add(-1)
	if gate.refusesAll(time.Now()) {
		req.refuse(leavingProblem())
		return
	}
	defer req.release()
	keepBody := req.interruptBodyWhenLeaving()
	prob := req.prepare(r)
	keepBody()
	if gate.leaving.Err() != nil {
		prob = leavingProblem()
	}
	if prob != nil {
		req.refuse(prob)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), req.deadline, errTimeout)
	defer cancel()
	defer req.resend.end()
	ctx, endRun := req.endWhenLeaving(ctx)
	defer endRun()
	prob = req.run(ctx)
	endRun()
	if prob != nil {
		if req.runs == 0 {
			gate.refundQuota(req)
		}
		req.refuse(prob)
	}
}

// setWriteDeadline bounds the time in which the caller may read its response.
//
// When a caller stops reading, its connection's buffers fill up and writing blocks. Neither the
// request's deadline nor the loss of the target unblocks the writer. Without a write deadline the
// target's slot and the request's memory would be occupied until the caller closes the
// connection.
func (req *callerRequest) setWriteDeadline(deadline time.Time) {
	_ = http.NewResponseController(req.w).SetWriteDeadline(deadline)
}

// refuse responds with the problem, and logs and counts it.
func (req *callerRequest) refuse(prob *Problem) {
	req.gate.metrics.problem(req.metricRank(), prob.Kind, prob.Detail)
	if prob.Kind == KindBusy && prob.Detail == detailMemory {
		req.gate.memoryShortage.requestRefused()
	}
	fields := append([]any{
		"kind", prob.Kind, "status", prob.Status(), "detail", prob.Detail, "backMillis", prob.RetryAfter.Milliseconds(),
		"sends", req.sends, "runs", req.runs, "number", req.configurationNumber(),
	}, prob.logFields...)
	if prob.Kind == KindUnknownKey || prob.Kind == KindNoRoute {
		// Anybody may send any number of such requests, so they are logged at debug level.
		req.logStep("refused", fields...)
	} else {
		req.logDecision("refused", fields...)
	}
	req.closeIfDraining()
	// If the process stood still past the request's deadline, the time for writing is over too.
	now := time.Now()
	req.setWriteDeadline(now.Add(refusalWriteTimeout))
	if !req.bodyRead {
		_ = http.NewResponseController(req.w).SetReadDeadline(req.unreadBodyDeadline(now))
	}
	prob.write(req.w)
}

// unreadBodyDeadline returns until when a refusal waits for the rest of the request's body.
func (req *callerRequest) unreadBodyDeadline(now time.Time) time.Time {
	deadline := now.Add(unreadBodyTimeout)
	switch {
	case req.gate.leaving.Err() != nil:
		return now
	case !req.deadline.IsZero() && req.deadline.Before(deadline):
		return req.deadline
	}
	return deadline
}

// prepare checks the request against the configuration, finds its route and account, and reads
// its body.
func (req *callerRequest) prepare(r *http.Request) *Problem {
	req.table = req.gate.awaitTable(r.Context(), req.arrivedAt)
	if req.table == nil {
		return &Problem{Kind: KindNotReady, RetryAfter: notReadyRetryAfter}
	}
	if prob := req.identify(r); prob != nil {
		return prob
	}
	req.pool = req.route.Pick(mathrand.Float64())
	req.deadline = req.arrivedAt.Add(req.timeout())
	req.setWriteDeadline(req.deadline.Add(writeGrace))
	if !req.reserve(yuccaspace.RequestOverhead + req.headMemory) {
		return &Problem{Kind: KindBusy, Detail: detailMemory, RetryAfter: memoryRetryAfter}
	}
	if req.conn != nil {
		req.conn.releaseHead()
	}
	return req.readBody(r)
}

// identify checks a request's head against the configuration, and finds its route and account.
func (req *callerRequest) identify(r *http.Request) *Problem {
	if limit := req.table.Config().Limits.Header; limit > 0 && headSize(r) > limit {
		return &Problem{Kind: KindLargeHead}
	}
	route, found := req.table.Route(r.Host, r.URL.Path)
	if !found {
		return &Problem{Kind: KindNoRoute}
	}
	req.route, req.path = route, r.URL.Path
	info, err := req.gate.dialect.ReadRequest(r, route)
	if err != nil {
		return &Problem{Kind: KindMalformed, Detail: err.Error()}
	}
	req.info = info
	req.traits = yuccaquarantine.PartTraits(info.SharedParts)
	return req.identifyAccount()
}

// headSize returns the approximate size of a request's head.
func headSize(r *http.Request) yuccaid.Bytes {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return yuccaid.Bytes(size)
}

// identifyAccount finds the account that the request's key belongs to.
func (req *callerRequest) identifyAccount() *Problem {
	if !req.table.RequiresKeys() || req.route.AllowAnonymous {
		return nil
	}
	account, known := req.table.AccountByKey(req.info.Key)
	if !known {
		return &Problem{Kind: KindUnknownKey}
	}
	req.account = account
	return nil
}

// timeout returns how long the request may take: the time that its caller states, or
// defaultTimeout if it states none, but no longer than the route's timeout.
func (req *callerRequest) timeout() time.Duration {
	limit := defaultTimeout
	if req.info.Remaining > 0 {
		limit = req.info.Remaining
	}
	if req.route.Timeout > 0 {
		limit = min(limit, req.route.Timeout)
	}
	return limit
}

// readBody reads the whole body before the request waits for a target, because a caller that sends
// slowly must not occupy a target's slot, and the caller must not have to upload the body again if
// a target rejects the request.
func (req *callerRequest) readBody(r *http.Request) *Problem {
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
		_ = control.SetReadDeadline(req.deadline)
	}
	if req.conn != nil && r.ContentLength > callerBufferBytes {
		req.conn.setReadBuffer(longBodyBufferBytes)
		defer req.conn.setReadBuffer(callerBufferBytes)
	}
	raw, err := readAll(body, r.ContentLength, req.reserve)
	if errors.Is(err, errNoMemory) {
		return &Problem{Kind: KindBusy, Detail: detailMemory, RetryAfter: memoryRetryAfter}
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
	// If the read deadline stayed set and passed while the request is served, the server would
	// conclude that the caller has left.
	_ = control.SetReadDeadline(time.Time{})
	req.bodyRead = true
	req.forwardHeader = forwardableHeader(r.Header)
	req.outgoing = yuccahop.Outgoing{Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: raw}
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 && r.Header.Get("Content-Length") == "" {
		req.outgoing.Body = nil
	}
	req.content = yuccaquarantine.Content{
		Account: req.accountName(), Method: r.Method, Host: r.Host, URI: r.RequestURI, Description: req.info.Description, Body: raw,
	}.Trait()
	req.traits = append(req.traits, req.content)
	return nil
}

// hopByHopFields are the header fields that apply to a single connection and are not forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardableHeader returns a copy without the fields that apply to a single connection.
func forwardableHeader(from http.Header) http.Header {
	header := from.Clone()
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		header.Del(name)
	}
	return header
}

// schedulerRequest returns what schedulers need to know of the request to decide on it. If its caller has got events,
// lastEventAt is when the last one arrived, and the stream is to go on soon after now.
func (req *callerRequest) schedulerRequest(now, lastEventAt time.Time) yuccagrant.Request {
	request := yuccagrant.Request{
		Class: req.class(), Tier: req.tier(), Rank: req.route.Rank, OverQuota: req.overQuota,
		Prompt: req.info.Prompt, Answer: req.info.Answer, Parts: req.info.Parts,
		SoftDeadline: req.arrivedAt.Add(req.route.LatencyTarget), Deadline: req.deadline,
		FailedTargets: slices.Clip(req.tried), Version: req.version,
		Regions: req.allowedRegions(),
	}
	if req.route.LatencyTarget <= 0 {
		request.SoftDeadline = req.deadline
	}
	if req.route.Kind == yuccaroute.Stream {
		request.MaxGap = req.route.MaxGap
		if request.Answer > 0 {
			request.End = req.deadline
		}
	}
	waitsSince := req.arrivedAt
	if !lastEventAt.IsZero() {
		// When a stream is resumed, what counts for the caller is the gap since the last event,
		// not the time since the request's arrival.
		waitsSince = lastEventAt
		request.SoftDeadline = now.Add(req.route.MaxGap)
	}
	if req.info.EventTimeout > 0 && waitsSince.Add(req.info.EventTimeout).Before(request.Deadline) {
		request.Deadline = waitsSince.Add(req.info.EventTimeout)
	}
	if lastEventAt.IsZero() && req.takesUp() {
		req.scheduleAsTakeUp(&request)
	}
	return request
}

// noRank stands in metrics for the rank of requests without a route.
const noRank = -1

// metricRank returns the route's rank for the labels of metrics, or noRank if there is no route.
func (req *callerRequest) metricRank() int {
	if req.route == nil {
		return noRank
	}
	return min(max(req.route.Rank, 0), maxMetricRank)
}

// configurationNumber returns the number of the configuration that applies to the request, or zero
// if the daemon has no configuration yet.
func (req *callerRequest) configurationNumber() yuccaid.ConfigNumber {
	if req.table == nil {
		return 0
	}
	return req.table.Number()
}

// maxMetricRank is the largest rank that metrics distinguish. Requests of larger ranks are counted
// under this rank.
const maxMetricRank = 9

// tier returns the tier that schedulers compare before the route's rank: the account's rank, or
// zero if the account has none.
func (req *callerRequest) tier() int {
	if req.account != nil && req.account.HasRank {
		return req.account.Rank
	}
	return 0
}

// class returns a hash of the request's account and route. Schedulers use the hash to tell requests
// of different accounts or routes apart.
func (req *callerRequest) class() yuccagrant.Class {
	return yuccagrant.Class(xxhash.Sum64String(string(req.accountName()) + "\x00" + req.route.Name))
}

// targetHeader returns the header of the request as it is sent to the decision's target. If
// lastEventID is set, the header asks the target to continue the stream after the event with that id.
func (req *callerRequest) targetHeader(now time.Time, dec decision, lastEventID string) http.Header {
	header := req.forwardHeader.Clone()
	info := ForwardInfo{Target: dec.target, FetchAddress: dec.fetchAddress, Remaining: req.deadline.Sub(now), LastEventID: lastEventID}
	if req.account != nil {
		info.Account = req.account.Name
	}
	req.gate.dialect.RewriteHeader(header, info)
	return header
}
