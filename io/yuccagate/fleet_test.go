package yuccagate_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccastream"
	"yuccacleat/io/yuccaclock"
	"yuccacleat/io/yuccagate"
)

// dialect is the dialect of the tests' callers and targets, which use headers of their own.
var dialect = yuccagate.Dialect{
	ReadRequest: func(r *http.Request, route *yuccaroute.Route) (yuccagate.RequestInfo, error) {
		info := yuccagate.RequestInfo{ID: r.Header.Get("X-Id"), Key: r.Header.Get("X-Key"), LastEventID: r.Header.Get("Last-Event-Id"), Resumes: r.Header.Get("X-Resumes")}
		if info.ID == "" {
			return info, errors.New("no id")
		}
		info.Description = r.Header.Get("X-Parts")
		for part := range strings.SplitSeq(info.Description, ",") {
			if part != "" {
				info.SharedParts = append(info.SharedParts, yuccaid.PromptPart(part))
			}
		}
		if own := r.Header.Get("X-Own"); own != "" {
			info.OwnPart = yuccagate.KeptPart{Part: partKey(own), Tokens: ownTokens}
			info.LastPart = partKey(own)
		}
		if millis, err := strconv.Atoi(r.Header.Get("X-Remaining")); err == nil {
			info.Remaining = time.Duration(millis) * time.Millisecond
		}
		if tokens, err := strconv.Atoi(r.Header.Get("X-Tokens")); err == nil {
			info.Prompt, info.Charged = yuccaid.Tokens(tokens), yuccaid.Tokens(tokens)
		}
		return info, nil
	},
	RewriteHeader: func(header http.Header, forward yuccagate.ForwardInfo) {
		header.Del("X-Key")
		header.Set("X-Target", string(forward.Target))
		header.Set("X-Account", string(forward.Account))
		header.Set("X-Remaining", strconv.FormatInt(forward.Remaining.Milliseconds(), 10))
		if forward.LastEventID != "" {
			header.Set("Last-Event-Id", forward.LastEventID)
		}
	},
	MatchesRequest: func(header http.Header, id string) bool { return header.Get("X-Id") == id },
	ReadReport: func(_ yuccaid.Target, status int, header http.Header) yuccagate.TargetReport {
		return yuccagate.TargetReport{NotRun: header.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest && header.Get("X-Name") != ""}
	},
	HoldingsPath: holdingsPath,
	ReadHoldings: func(list []byte) (kept []yuccagate.KeptPart, known bool) {
		for name := range strings.FieldsSeq(string(list)) {
			kept = append(kept, yuccagate.KeptPart{Part: partKey(name), Tokens: ownTokens})
		}
		return kept, true
	},
}

const (
	// holdingsPath is where engines list the names of the parts that they keep. Each has ownTokens.
	holdingsPath = "/holdings"
	ownTokens    = 100
)

func partKey(name string) yuccastream.PartKey { return yuccastream.PartKey(xxhash.Sum64String(name)) }

// config returns the configuration that most tests use.
func config() yuccaroute.Config {
	route := func(name string, kind yuccaroute.Kind, attempts int) yuccaroute.Route {
		return yuccaroute.Route{
			Name: name, Host: "desk.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, LatencyTarget: 500 * time.Millisecond,
			MaxGap: 300 * time.Millisecond, Pools: []yuccaroute.PoolWeight{{Pool: "desk", Weight: 1}}, Attempts: attempts,
		}
	}
	resumed := route("resumed", yuccaroute.Stream, 2)
	resumed.Resumable = true
	return yuccaroute.Config{
		Routes: []yuccaroute.Route{route("lookup", yuccaroute.Idempotent, 2), route("ticket", yuccaroute.Once, 1), route("note", yuccaroute.Stream, 1), resumed},
		Pools:  []yuccaroute.Pool{{Name: "desk"}},
		Accounts: []yuccaroute.Account{
			{Name: "rally", Keys: []string{"k1"}},
			{Name: "small", Keys: []string{"k2"}, Quota: yuccaroute.Quota{Rate: 10, Burst: 20, PerToken: true, DefaultTokens: 5}},
			// In the tests of quotas, a quota window lasts an hour. At this rate the account's
			// quota grows by less than 4 tokens in an hour, so it hardly grows during a test.
			{Name: "still", Keys: []string{"k3"}, Quota: yuccaroute.Quota{Rate: 0.001, Burst: 100, PerToken: true, DefaultTokens: 5}},
		},
		Limits: yuccaroute.Limits{Header: 4 << 10, Body: 64 << 10, IdleTimeout: 10 * time.Second},
	}
}

// decode parses the text of a configuration that encode has written. The gateways of the tests use
// it for configurations that they are given and for configurations that they get from one another.
func decode(raw []byte) (*yuccaroute.Table, error) {
	var text struct {
		Number yuccaid.ConfigNumber
		Config yuccaroute.Config
	}
	if err := json.Unmarshal(raw, &text); err != nil {
		return nil, err
	}
	return yuccaroute.NewTable(text.Number, text.Config)
}

func encode(number yuccaid.ConfigNumber, config yuccaroute.Config) []byte {
	raw, err := json.Marshal(map[string]any{"Number": number, "Config": config})
	Expect(err).NotTo(HaveOccurred())
	return raw
}

// engine is a target whose responses are defined by a test. It rejects requests that are meant for
// another target.
type engine struct {
	name string
	// version is the version of the engine's software. It is to be set before the engine is registered.
	version  yuccaid.Version
	listener net.Listener
	http     *http.Server
	// running is the number of requests that are being served. maxRunning is the highest value
	// that running has had.
	running    atomic.Int64
	maxRunning atomic.Int64

	mu       sync.Mutex
	received []received
	answer   http.HandlerFunc
	// keeps are the parts that the engine keeps, and lists counts how often it has told them.
	keeps []string
	lists int
	// silent has the engine not tell what it keeps.
	silent atomic.Bool
}

// received is a request as it arrived at a target.
type received struct {
	id, method, uri, host, body string
	header                      http.Header
}

// newEngine starts a target that responds to requests by calling the function answer. If answer is
// nil, the target responds with a text that contains its name.
func newEngine(name string, answer http.HandlerFunc) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	eng := &engine{name: name, version: "v1", listener: listener, answer: answer}
	eng.http = &http.Server{Handler: eng}
	go eng.http.Serve(listener)
	DeferCleanup(func() { eng.http.Close() })
	return eng
}

func (eng *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	if r.URL.Path == holdingsPath {
		if eng.silent.Load() {
			<-r.Context().Done()
			return
		}
		eng.mu.Lock()
		defer eng.mu.Unlock()
		eng.lists++
		fmt.Fprint(w, strings.Join(eng.keeps, " "))
		return
	}
	if r.Header.Get("X-Target") != eng.name {
		w.Header().Set("X-Name", eng.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := eng.running.Add(1)
	defer eng.running.Add(-1)
	for maxRunning := eng.maxRunning.Load(); running > maxRunning && !eng.maxRunning.CompareAndSwap(maxRunning, running); maxRunning = eng.maxRunning.Load() {
	}
	body, _ := io.ReadAll(r.Body)
	eng.mu.Lock()
	eng.received = append(eng.received, received{r.Header.Get("X-Id"), r.Method, r.RequestURI, r.Host, string(body), r.Header.Clone()})
	answer := eng.answer
	eng.mu.Unlock()
	if answer == nil {
		w.Header().Set("X-Signature", eng.name)
		fmt.Fprint(w, "answer of "+eng.name)
		return
	}
	answer(w, r)
}

func (eng *engine) requests() []received {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return slices.Clone(eng.received)
}

// gate is one gateway and the address on which it serves callers.
type gate struct {
	*yuccagate.Gate
	address string
	server  *yuccagate.Server
	// crash stops the gateway and cuts off its open requests.
	crash func()
	lines *lines
	// control is locked to make the gateway's control goroutine hang.
	control *sync.Mutex
	// platform is what the platform answers this gateway's checks.
	platform *platformChanges
}

// hang makes the gateway's control goroutine hang until the end of the test. The gateway's
// connections stay open.
func (gt *gate) hang() {
	gt.control.Lock()
	DeferCleanup(gt.control.Unlock)
	// The goroutine hangs at its next tick.
	time.Sleep(100 * time.Millisecond)
}

// lines collects a gateway's log lines.
type lines struct {
	mu   sync.Mutex
	list []string
}

func (ln *lines) Log(fields ...any) error {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.list = append(ln.list, fmt.Sprint(fields...))
	return nil
}

// all returns all log lines as one string, a line of it for each log line.
func (ln *lines) all() string {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return strings.Join(ln.list, "\n")
}

// settings returns the settings of a gateway. If the VM's name starts with the name of its data
// centre, the gateway belongs to a fleet of two data centres in different regions. Otherwise it
// belongs to a fleet of one data centre.
func settings(vm string, centre yuccaid.Centre, peers net.Listener, seeds []string) yuccagate.Settings {
	regions := map[yuccaid.Centre]yuccaid.Region{centre: "permian"}
	if strings.HasPrefix(vm, string(centre)) {
		regions = map[yuccaid.Centre]yuccaid.Region{"odessa": "permian", "austin": "hills"}
	}
	return yuccagate.Settings{
		VM: yuccaid.VM(vm), Centre: centre, Regions: regions,
		Address: peers.Addr().String(), Seeds: seeds, Key: yuccaid.Key("tests only"), FirstStart: true,
		Bounds: yuccagate.Bounds{Grace: 5 * time.Second, ResendRatio: 0.2, ResendAllowance: 50, ResendWindow: 10 * time.Second},
	}
}

// newGate starts a gateway in the data centre odessa.
func newGate(vm string, seeds ...string) *gate {
	return newGateIn("odessa", vm, seeds...)
}

// newGateIn starts a gateway in the given data centre, with a listener of its own for connections
// of peers.
func newGateIn(centre yuccaid.Centre, vm string, seeds ...string) *gate {
	return newGateOf(listen(), centre, vm, nil, seeds...)
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// platformChanges is what the platform answers gateways that check whether they have missed changes. It is safe for concurrent use.
type platformChanges struct {
	mu      sync.Mutex
	changes yuccagate.TargetChanges
	err     error
	checks  int
}

func (pc *platformChanges) set(changes yuccagate.TargetChanges, err error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.changes, pc.err = changes, err
}

func (pc *platformChanges) count() int {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.checks
}

func (pc *platformChanges) check(_ context.Context, after yuccaroster.Revision) (yuccagate.TargetChanges, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.checks++
	changes := pc.changes
	changes.At = max(changes.At, after)
	return changes, pc.err
}

// newGateOf starts a gateway that accepts connections of peers on the given listener. If the
// function change isn't nil, it is called to change the gateway's settings before the start.
func newGateOf(peers net.Listener, centre yuccaid.Centre, vm string, change func(*yuccagate.Settings), seeds ...string) *gate {
	logged := &lines{}
	set := settings(vm, centre, peers, seeds)
	if change != nil {
		change(&set)
	}
	hang := &sync.Mutex{}
	clock := func() (time.Duration, error) {
		hang.Lock()
		defer hang.Unlock()
		return yuccaclock.SinceBoot()
	}
	changes := &platformChanges{}
	inner, err := yuccagate.New(set, dialect, decode, peers, yuccagate.WithLog(logged), yuccagate.WithBootClock(clock),
		yuccagate.WithPlatformCheck(changes.check))
	Expect(err).NotTo(HaveOccurred())
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	gt := &gate{Gate: inner, address: callers.Addr().String(), server: inner.Serve(callers), lines: logged, control: hang, platform: changes}
	gt.crash = sync.OnceFunc(func() {
		// Drain gets a context that has already ended, so that it cuts off open requests at once
		// instead of waiting for them.
		ended, end := context.WithCancel(context.Background())
		end()
		gt.server.Drain(ended)
		inner.Close()
	})
	DeferCleanup(gt.crash)
	return gt
}

// configure gives the gateway a configuration and targets, and waits until both are in use. Each
// target has the given number of slots.
func (gt *gate) configure(number yuccaid.ConfigNumber, config yuccaroute.Config, slots int, engines ...*engine) {
	Expect(gt.OfferConfiguration(encode(number, config), "test")).To(Succeed())
	var entries []yuccaroster.Entry
	for _, eng := range engines {
		entries = append(entries, yuccaroster.Entry{
			Target: yuccaid.Target(eng.name), Pool: "desk", Address: eng.listener.Addr().String(), Centre: "odessa", Slots: slots, Revision: 1, Version: eng.version,
		})
	}
	gt.OfferTargets(entries, nil, true, 1, true)
	Eventually(gt.Ready).Should(BeTrue())
	Eventually(func() int { return len(gt.Status().Targets) }).Should(Equal(len(engines)))
}

// call is one request of a caller.
type call struct {
	method, path, id, key, body string
	header                      map[string]string
}

func (cl call) request(gt *gate) *http.Request {
	req, err := http.NewRequest(orDefault(cl.method, http.MethodPost), "http://"+gt.address+cl.path, strings.NewReader(cl.body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "desk.example"
	req.Header.Set("X-Id", orDefault(cl.id, "r1"))
	req.Header.Set("X-Key", orDefault(cl.key, "k1"))
	for name, value := range cl.header {
		req.Header.Set(name, value)
	}
	return req
}

func orDefault(value, other string) string {
	if value == "" {
		return other
	}
	return value
}

// response is a complete response. If err is set, there was no response, or it ended early with
// this error.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends the call to the gateway on a new connection and returns the whole response. It comes back, as callers do, if the
// gateway has closed a connection unread for want of processor time, which the other work on the machine decides.
func (cl call) do(gt *gate) response {
	for {
		before := gt.turnedAway()
		resp := roundTrip(cl.request(gt))
		if resp.err == nil || resp.status != 0 || gt.turnedAway() == before {
			return resp
		}
	}
}

// turnedAway returns how many connections the gateway has closed unread for want of processor time, as its metrics have it.
func (gt *gate) turnedAway() string { return gt.turnedAwayFor("processor") }

// turnedAwayFor returns how many connections the gateway has closed unread for a reason.
func (gt *gate) turnedAwayFor(reason string) string {
	var text strings.Builder
	gt.WriteMetrics(&text)
	_, count, _ := strings.Cut(text.String(), `yuccacleat_gate_connections_turned_away_total{reason="`+reason+`"} `)
	count, _, _ = strings.Cut(count, "\n")
	return count
}

func roundTrip(req *http.Request) response {
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(raw), err}
}

// busy returns the number of runs that this gateway's schedulers count, summed over all targets.
func (gt *gate) busy() int {
	sum := 0
	for _, pool := range gt.Status().Pools {
		for _, target := range pool.Targets {
			sum += target.Busy
		}
	}
	return sum
}

// used returns the account's usage that this gateway knows of, or zero if it doesn't know the
// account.
func (gt *gate) used(account yuccaid.Account) int64 {
	for _, each := range gt.Status().Accounts {
		if each.Account == account {
			return each.Used
		}
	}
	return 0
}
