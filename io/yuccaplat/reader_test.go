package yuccaplat_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccaplat"
)

// patience is generous: it ends a test that hangs, and decides nothing else.
const patience = 30 * time.Second

func TestYuccaplat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaplat")
}

// follower runs Follow in the background and gathers what it tells. Pauses take no
// time; their wished lengths are kept.
type follower struct {
	reader *yuccaplat.Reader
	mutex  sync.Mutex
	keys   []string
	faults []error
	pauses []time.Duration
}

func follow(url string, options ...yuccaplat.Option) *follower {
	flw := &follower{}
	ctx, cancel := context.WithCancel(context.Background())
	options = append([]yuccaplat.Option{
		yuccaplat.WithWait(20 * time.Millisecond),
		yuccaplat.WithRandom(func() float64 { return 0.5 }),
		yuccaplat.WithSleep(func(ctx context.Context, span time.Duration) error {
			flw.lock(func() { flw.pauses = append(flw.pauses, span) })
			return ctx.Err()
		}),
		yuccaplat.WithFault(func(err error) { flw.lock(func() { flw.faults = append(flw.faults, err) }) }),
	}, options...)
	flw.reader = yuccaplat.New(url, options...)
	done := make(chan error, 1)
	go func() { done <- flw.reader.Follow(ctx, "notes/", flw.take) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done, patience).Should(Receive(MatchError(context.Canceled)))
	})
	return flw
}

func (flw *follower) lock(step func()) {
	flw.mutex.Lock()
	defer flw.mutex.Unlock()
	step()
}

func (flw *follower) take(page yuccaplat.Page) {
	flw.lock(func() {
		for _, entry := range page.Entries {
			flw.keys = append(flw.keys, entry.Key+"="+string(entry.Value))
		}
	})
}

func (flw *follower) seen() []string {
	flw.mutex.Lock()
	defer flw.mutex.Unlock()
	return append([]string(nil), flw.keys...)
}

var _ = Describe("Follow", func() {
	It("brings each change once, also those that span pages", func() {
		svc, url := newService()
		svc.perPage = 2
		for i := range 5 {
			svc.put(fmt.Sprint("notes/", i), "a")
		}
		svc.put("other/1", "a")
		flw := follow(url)
		Eventually(flw.seen, patience).Should(HaveLen(5))
		svc.put("notes/5", "b")
		Eventually(flw.seen, patience).Should(Equal([]string{
			"notes/0=a", "notes/1=a", "notes/2=a", "notes/3=a", "notes/4=a", "notes/5=b",
		}))
		Expect(flw.reader.Counts().Entries).To(Equal(uint64(6)))
	})

	It("pauses longer after each failure in a row and goes on when the service is back", func() {
		// The service is away or over its rate. A fleet that asked again at once would
		// keep it there; one that gave up would miss the next note.
		svc, url := newService()
		for range 9 {
			svc.answers = append(svc.answers, http.StatusTooManyRequests)
		}
		svc.answers = append(svc.answers, http.StatusInternalServerError)
		flw := follow(url)
		svc.put("notes/1", "a")
		Eventually(flw.seen, patience).Should(HaveLen(1))
		flw.lock(func() {
			Expect(flw.faults).To(HaveLen(10))
			Expect(flw.faults[0]).To(MatchError(yuccaplat.ErrLimited))
			Expect(flw.faults[9]).To(MatchError(yuccaplat.ErrRefused))
			var seconds []float64
			for _, span := range flw.pauses[:10] {
				seconds = append(seconds, span.Seconds())
			}
			Expect(seconds).To(Equal([]float64{0.375, 0.75, 1.5, 3, 6, 12, 22.5, 22.5, 22.5, 22.5}))
			Expect(flw.pauses[10]).To(Equal(500*time.Millisecond), "the jitter after an answer")
		})
		Expect(flw.reader.Counts().Limited).To(Equal(uint64(9)))
		Expect(flw.reader.Counts().Failed).To(Equal(uint64(10)))
		svc.lock(func() { svc.answers = []int{http.StatusInternalServerError} })
		svc.put("notes/2", "a")
		pauses := func() (all []time.Duration) { flw.lock(func() { all = append(all, flw.pauses[10:]...) }); return all }
		Eventually(pauses, patience).Should(ContainElement(375*time.Millisecond), "short again after an answer")
	})

	It("tells that the service went back and reads on from its beginning", func() {
		// The service is restored from an old copy. What operators publish next gets
		// revisions that were seen before; a watch after the higher revision would
		// wait for them for ever, and nobody would notice until a note doesn't come.
		svc, url := newService()
		for i := range 5 {
			svc.put(fmt.Sprint("notes/", i), "a")
		}
		flw := follow(url)
		Eventually(flw.seen, patience).Should(HaveLen(5))
		svc.lock(func() { svc.revision, svc.entries = 2, svc.entries[:2] })
		Eventually(flw.seen, patience).Should(HaveLen(7), "the old copy's two again")
		svc.put("notes/2", "b")
		Eventually(flw.seen, patience).Should(HaveLen(8))
		Expect(flw.seen()[5:]).To(Equal([]string{"notes/0=a", "notes/1=a", "notes/2=b"}))
		Expect(flw.reader.Counts().Stale).To(Equal(uint64(1)))
	})

	It("does not ask in a loop when more is promised and nothing comes", func() {
		// A faulty service answers at once with an empty page and more to come. Each
		// daemon would spend the whole fleet's reads on it.
		svc, url := newService()
		svc.raw = `{"revision":9,"entries":[],"more":true}`
		flw := follow(url)
		Eventually(func() int { return len(svc.calls()) }, patience).Should(BeNumerically(">", 10))
		flw.lock(func() {
			Expect(flw.pauses[8]).To(Equal(22500 * time.Millisecond))
			Expect(len(flw.pauses)).To(BeNumerically(">=", 9))
		})
	})

	It("gives up a call whose answer never comes", func() {
		// Something between the two ends lost track of the connection. Without a limit
		// the daemon would never read the service again.
		svc, url := newService()
		silent := true
		client := &http.Client{Transport: transport(func(request *http.Request) (*http.Response, error) {
			deadline, bounded := request.Context().Deadline()
			if silent && bounded && time.Until(deadline) < time.Minute {
				silent = false
				return nil, context.DeadlineExceeded
			}
			return http.DefaultTransport.RoundTrip(request)
		})}
		svc.put("notes/1", "a")
		flw := follow(url, yuccaplat.WithClient(client))
		Eventually(flw.seen, patience).Should(HaveLen(1))
		flw.lock(func() { Expect(flw.faults[0]).To(MatchError(yuccaplat.ErrUnreachable)) })
	})
})

type transport func(*http.Request) (*http.Response, error)

func (trp transport) RoundTrip(request *http.Request) (*http.Response, error) { return trp(request) }

var _ = Describe("single calls", func() {
	ctx := context.Background()

	It("wait on the service and count one each", func() {
		svc, url := newService()
		reader := yuccaplat.New(url, yuccaplat.WithWait(patience))
		go func() {
			defer GinkgoRecover()
			Eventually(svc.calls, patience).Should(HaveLen(1))
			svc.put("notes/1", "a")
		}()
		page, err := reader.Watch(ctx, "notes/", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Entries).To(Equal([]yuccaplat.Entry{{Key: "notes/1", Value: []byte("a"), Revision: 1}}))
		value, revision, err := reader.Get(ctx, "notes/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(value)).To(Equal("a"))
		Expect(revision).To(Equal(yuccaplat.Revision(1)))
		vms, err := reader.VMs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(Equal([]yuccaplat.VM{{
			Name: "entry-1", Centre: "east", Address: "10.0.0.11:7000", Kind: yuccaplat.VMEntry, State: yuccaplat.VMLeaving,
		}}))
		Expect(reader.Counts().Calls()).To(Equal(uint64(len(svc.calls()))))
		Expect(reader.Counts()).To(Equal(yuccaplat.Counts{Watches: 1, Gets: 1, Lists: 1, Entries: 1}))
	})

	// Guards against the failure that one odd entry of the platform's list hides all VMs.
	It("pass over odd entries of a list", func() {
		svc, url := newService()
		svc.answers = []int{http.StatusOK}
		svc.raw = `{"vms":[{"vm":"entry-1","address":"10.0.0.11:7000"},7,[[[]]],{"vm":1e400},{"vm":"entry-2","centre":{}},{},{"vm":"entry-3"}]}`
		vms, err := yuccaplat.New(url).VMs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(Equal([]yuccaplat.VM{{Name: "entry-1", Address: "10.0.0.11:7000"}, {Name: "entry-3"}}))
	})

	DescribeTable("fail by kind, with a remedy",
		func(status int, raw string, want error) {
			svc, url := newService()
			svc.answers, svc.raw = []int{status}, raw
			_, err := yuccaplat.New(url).VMs(ctx)
			Expect(err).To(MatchError(want))
			var fault *yuccaplat.Fault
			Expect(errors.As(err, &fault)).To(BeTrue())
			Expect(fault.Remedy).NotTo(BeEmpty())
			Expect(fault.Error()).To(ContainSubstring("/v1/vms"))
		},
		Entry("limited", http.StatusTooManyRequests, "", yuccaplat.ErrLimited),
		Entry("not found", http.StatusNotFound, "", yuccaplat.ErrNotFound),
		Entry("refused", http.StatusBadGateway, "", yuccaplat.ErrRefused),
		Entry("garbled", http.StatusOK, "<html>", yuccaplat.ErrGarbled),
		Entry("endless", http.StatusOK, string(make([]byte, 5<<20)), yuccaplat.ErrGarbled),
	)

	It("fail when nobody listens or the revision is missing", func() {
		_, err := yuccaplat.New("127.0.0.1:1").VMs(ctx)
		Expect(err).To(MatchError(yuccaplat.ErrUnreachable))
		svc, url := newService()
		svc.raw = "value"
		_, _, err = yuccaplat.New(url).Get(ctx, "notes/1")
		Expect(err).To(MatchError(yuccaplat.ErrGarbled))
	})

	It("fail when the connection ends within an answer", func() {
		// Half a note may read like a whole one that withdraws less.
		cut := transport(func(*http.Request) (*http.Response, error) {
			body := io.MultiReader(strings.NewReader("number: 2"), iotest.ErrReader(io.ErrUnexpectedEOF))
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Revision": {"2"}}, Body: io.NopCloser(body)}, nil
		})
		_, _, err := yuccaplat.New("10.0.0.2:8500", yuccaplat.WithClient(&http.Client{Transport: cut})).Get(ctx, "notes/2")
		Expect(err).To(MatchError(yuccaplat.ErrUnreachable))
	})

	// Guards against the failure that a part of a value is taken for the value, because its answer ends
	// with its connection.
	It("fail when nothing states where a value ends", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Revision: 2\r\n\r\nnumber: 2\n")
		}))
		DeferCleanup(server.Close)
		_, _, err := yuccaplat.New(server.URL).Get(ctx, "notes/2")
		Expect(err).To(MatchError(yuccaplat.ErrGarbled))
	})

	It("end with the context, also in a pause", func() {
		// A daemon that shuts down would otherwise stay until the longest pause is over.
		ctx, cancel := context.WithCancel(ctx)
		reader := yuccaplat.New("127.0.0.1:1", yuccaplat.WithFault(func(error) { cancel() }), yuccaplat.WithRandom(func() float64 { return 1e6 }))
		done := make(chan error, 1)
		go func() { done <- reader.Follow(ctx, "notes/", nil) }()
		Eventually(done, patience).Should(Receive(MatchError(context.Canceled)))
	})
})

var _ = Describe("FollowVMs", func() {
	It("reads about every period and survives failures", func() {
		svc, url := newService()
		svc.answers = []int{http.StatusBadGateway}
		var pauses []time.Duration
		reader := yuccaplat.New(url,
			yuccaplat.WithRandom(func() float64 { return 0 }),
			yuccaplat.WithSleep(func(_ context.Context, span time.Duration) error {
				pauses = append(pauses, span)
				return nil
			}))
		ctx, cancel := context.WithCancel(context.Background())
		lists := 0
		err := reader.FollowVMs(ctx, 10*time.Second, func(vms []yuccaplat.VM) {
			Expect(vms).To(HaveLen(1))
			if lists++; lists == 3 {
				cancel()
			}
		})
		Expect(err).To(MatchError(context.Canceled))
		Expect(pauses[:3]).To(HaveEach(5 * time.Second))
		Expect(reader.Counts().Lists).To(Equal(uint64(4)))
	})
})

func ExampleReader_Follow() {
	reader := yuccaplat.New("127.0.0.1:1")
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // at shutdown
	err := reader.Follow(ctx, "notes/", func(page yuccaplat.Page) {
		for _, entry := range page.Entries {
			fmt.Println(entry.Key)
		}
	})
	fmt.Println(err)
	// Output: context canceled
}
