package yuccaserve_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccaconf"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccaserve"
	"yuccacleat/io/yuccastand"
	"yuccacleat/io/yuccaweb"
)

const (
	patience = 60 * time.Second
	anyPort  = "127.0.0.1:0"
	secret   = "a secret"
)

func TestYuccaserve(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaserve")
}

// settingsOf is one daemon on ports of its own.
func settingsOf(platform string) *yuccaconf.Settings {
	settings := yuccaconf.Defaults()
	settings.VM = "entry-1"
	settings.Centre = "odessa-1"
	settings.Platform = "http://" + platform
	settings.Listen = yuccaconf.Listen{Caller: anyPort, Peer: anyPort, Operator: anyPort}
	settings.Limits.Body = 4096
	return &settings
}

func listen() net.Listener {
	GinkgoHelper()
	listener, err := net.Listen("tcp", anyPort)
	Expect(err).NotTo(HaveOccurred())
	return listener
}

var _ = Describe("a daemon", Ordered, func() {
	var proc *yuccaserve.Process
	var engine *yuccastand.Engine

	BeforeAll(func() {
		platform := yuccastand.NewPlatform(listen())
		DeferCleanup(platform.Close)
		engine = yuccastand.NewEngine(listen(), yuccastand.WithRates(8000, 400))
		DeferCleanup(engine.Close)
		var err error
		proc, err = yuccaserve.Start(settingsOf(platform.Address()), yuccaid.Key(strings.Repeat("k", 32)), log.NewNopLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proc.Kill)
		publish(platform, engine.Address())
		Eventually(proc.Daemon.Ready).WithTimeout(patience).Should(BeTrue())
	})

	valid := `{"pool":"draft","operation":"generate","tier":"urgent","deadlineMillis":30000,"prompt":"x","answerTokens":5}`
	with := func(old, replacement string) string { return strings.Replace(valid, old, replacement, 1) }

	// Guards against the failure that heads of the library's size take the daemon's memory, and that a request about the server
	// waits for a body that never comes.
	DescribeTable("refuses what its callers and operators never send",
		func(request string, status int) {
			for _, address := range []string{proc.Addresses.Caller, proc.Addresses.Operator} {
				conn, err := net.Dial("tcp", address)
				Expect(err).NotTo(HaveOccurred())
				Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
				_, _ = fmt.Fprint(conn, request)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(status))
				conn.Close()
			}
		},
		Entry("a long head", "GET /v1/requests/a HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 24<<10), http.StatusRequestHeaderFieldsTooLarge),
		Entry("a request about the server", "OPTIONS * HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", http.StatusNotFound),
	)

	// Callers send what a broken script sends. Each must hear what to mend and that
	// nothing ran, and the daemon must serve the next caller as if nothing had been.
	DescribeTable("refuses bad input with a remedy, runs nothing and goes on",
		func(token, body string, status int, kind yuccadaemon.Kind) {
			before := len(engine.Runs())
			got, failure := post(proc.Addresses.Caller, token, body)
			Expect(got).To(Equal(status))
			Expect(failure.Error.Kind).To(Equal(kind))
			Expect(failure.Error.Remedy).NotTo(BeEmpty())
			Expect(failure.Error.Run).To(Equal(yuccaonce.NotRun))
			Expect(engine.Runs()).To(HaveLen(before))
			good, _ := post(proc.Addresses.Caller, secret, valid)
			Expect(good).To(Equal(http.StatusOK))
		},
		Entry("no JSON", secret, "{", 400, yuccadaemon.KindMalformed),
		Entry("no body", secret, "", 400, yuccadaemon.KindMalformed),
		Entry("an unknown key", secret, with(`"pool"`, `"surplus":1,"pool"`), 400, yuccadaemon.KindMalformed),
		Entry("two values", secret, valid+valid, 400, yuccadaemon.KindMalformed),
		Entry("too long", secret, with(`"x"`, `"`+strings.Repeat("x", 5000)+`"`), 413, yuccadaemon.KindTooLarge),
		Entry("an unknown pool", secret, with("draft", "other"), 400, yuccadaemon.KindUnknownPool),
		Entry("a pool the account may not use", secret, with("draft", "closed"), 400, yuccadaemon.KindUnknownPool),
		Entry("an unknown operation", secret, with("generate", "other"), 400, yuccadaemon.KindUnknownOp),
		Entry("an unknown tier", secret, with("urgent", "other"), 400, yuccadaemon.KindUnknownTier),
		Entry("a past deadline", secret, with("30000", "-1"), 400, yuccadaemon.KindDeadline),
		Entry("a deadline beyond the lifetime of ids", secret, with("30000", "99999999"), 400, yuccadaemon.KindDeadline),
		Entry("a negative length", secret, with(":5", ":-5"), 400, yuccadaemon.KindMalformed),
		Entry("a wrong secret", "other", valid, 401, yuccadaemon.KindCredential),
		Entry("no secret", "", valid, 401, yuccadaemon.KindCredential),
	)

	It("doesn't tell an account of another account's request", func() {
		id, err := proc.Daemon.Open("caller")
		Expect(err).NotTo(HaveOccurred())
		_, foreign := proc.Daemon.Outcome(GinkgoT().Context(), id, "stranger")
		_, forged := proc.Daemon.Outcome(GinkgoT().Context(), id+"0", "caller")
		Expect(foreign).To(HaveOccurred())
		Expect(foreign.Error()).To(Equal(forged.Error()))
	})

	It("answers the balancer, metrics, status and audit", func() {
		for _, path := range []string{"/healthz", "/readyz", "/metrics", "/v1/status", "/v1/audit"} {
			reply, err := http.Get("http://" + proc.Addresses.Operator + path)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Body.Close()).To(Succeed())
			Expect(reply.StatusCode).To(Equal(http.StatusOK), path)
		}
	})

	It("doesn't start on a port in use, and says which key to change", func() {
		settings := settingsOf("127.0.0.1:1")
		settings.Listen.Operator = proc.Addresses.Operator
		_, err := yuccaserve.Start(settings, yuccaid.Key("k"), log.NewNopLogger())
		var failed *yuccaserve.ListenError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Key).To(Equal("listen.operator"))
	})
})

func publish(platform *yuccastand.Platform, engine string) {
	GinkgoHelper()
	note := yuccastate.Note{Number: 1, Base: yuccastate.Empty().Digest(), Author: "test"}
	note.Added.Centres = map[yuccaid.Centre]yuccastate.Centre{"odessa-1": {Region: "permian"}}
	note.Added.Tiers = map[yuccaid.Tier]yuccastate.Tier{"urgent": {}}
	model := yuccastate.Pool{Kind: yuccastate.PoolModel, LongestRun: time.Minute, Operations: yuccastate.Operations{"generate": {Idempotent: true}}}
	note.Added.Pools = map[yuccaid.Pool]yuccastate.Pool{"draft": model, "closed": model}
	note.Added.Accounts = map[yuccaid.Account]yuccastate.Account{
		"caller":   {Credential: yuccastate.CredentialDigest(secret), Weight: 1, Tiers: []yuccaid.Tier{"urgent"}, Pools: []yuccaid.Pool{"draft"}},
		"stranger": {Credential: yuccastate.CredentialDigest("stranger"), Weight: 1, Tiers: []yuccaid.Tier{"urgent"}, Pools: []yuccaid.Pool{"draft"}},
	}
	note.Added.Targets = map[yuccaid.Target]yuccastate.Target{"engine-1": {
		Pool: "draft", Centre: "odessa-1", VM: "vm-1", Address: engine, Slots: 8, Prefill: 8000, Decode: 400, Cache: 100_000,
	}}
	call, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/control/keys/%s", platform.Address(), yuccastate.NoteKey(1)), strings.NewReader(string(note.Canonical())))
	Expect(err).NotTo(HaveOccurred())
	reply, err := http.DefaultClient.Do(call)
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.Body.Close()).To(Succeed())
}

func post(address, token, body string) (int, yuccaweb.Failure) {
	GinkgoHelper()
	call, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/run", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	call.Header.Set("Authorization", "Bearer "+token)
	reply, err := http.DefaultClient.Do(call)
	Expect(err).NotTo(HaveOccurred())
	defer reply.Body.Close()
	var failure yuccaweb.Failure
	if reply.StatusCode != http.StatusOK {
		Expect(json.NewDecoder(reply.Body).Decode(&failure)).To(Succeed())
	}
	return reply.StatusCode, failure
}
