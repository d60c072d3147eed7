package yuccastand_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccastand"
	"yuccacleat/io/yuccatarget"
)

func startEngine(options ...yuccastand.EngineOption) (eng *yuccastand.Engine, url string) {
	quick := yuccastand.WithRates(1_000_000, 10_000)
	eng = yuccastand.NewEngine(listen(), append([]yuccastand.EngineOption{quick}, options...)...)
	DeferCleanup(eng.Close)
	return eng, "http://" + eng.Address()
}

// generate asks for an answer and returns its lines.
func generate(url, id string, prompt, answer int, prefixes string) []string {
	GinkgoHelper()
	body := fmt.Sprintf(`{"promptTokens":%d,"answerTokens":%d,"prefixes":[%s]}`, prompt, answer, prefixes)
	status, said, err := ask(http.MethodPost, url+"/v1/generate?id="+id, []byte(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
	return strings.Split(strings.TrimSpace(string(said)), "\n")
}

var _ = Describe("an engine", func() {
	It("streams pieces and an end, whole or from a position", func() {
		eng, url := startEngine(yuccastand.WithPieceTokens(4))
		lines := generate(url, "a", 10, 10, "")
		Expect(lines).To(HaveLen(4))
		Expect(lines[0]).To(MatchJSON(fmt.Sprintf(`{"id":"a","tokens":4,"data":%q}`, yuccastand.AnswerPiece("a", 0))))
		Expect(lines[2]).To(ContainSubstring(`"position":2,"tokens":2`))
		Expect(lines[3]).To(ContainSubstring(yuccastand.AnswerHash("a", 3)))
		_, said, err := ask(http.MethodGet, url+"/v1/generate/a?from=2", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Split(strings.TrimSpace(string(said)), "\n")).To(Equal(lines[2:]))
		Expect(eng.Runs()).To(HaveLen(1))
		for path, want := range map[string]int{"a?from=9": http.StatusBadRequest, "b?from=0": http.StatusNotFound} {
			status, _, err := ask(http.MethodGet, url+"/v1/generate/"+path, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(want))
		}
	})

	// A scheduler that dispatches a request twice must be seen to: the log has one entry
	// for each time that the engine ran it.
	It("logs an id that is sent twice as two runs", func() {
		_, url := startEngine()
		generate(url, "a", 10, 2, "")
		generate(url, "a", 10, 2, "")
		runs := read[[]yuccastand.Run](url + "/control/runs")
		Expect(runs).To(HaveLen(2))
		for _, run := range runs {
			Expect(run.ID).To(Equal("a"))
			Expect(run.Prefilled).To(BeEquivalentTo(10))
			Expect(run.AnswerHash).To(Equal(yuccastand.AnswerHash("a", 2)))
		}
	})

	It("caches prompt prefixes, the least recently used going first", func() {
		eng, url := startEngine(yuccastand.WithCache(300, 100))
		cached := func(prompt int, prefixes string) yuccaid.Tokens {
			generate(url, prefixes, prompt, 1, prefixes)
			runs := eng.Runs()
			last := runs[len(runs)-1]
			Expect(last.Cached + last.Prefilled).To(BeEquivalentTo(prompt))
			return last.Cached
		}
		Expect(cached(250, "1,2")).To(BeEquivalentTo(0))
		Expect(cached(250, "1,2")).To(BeEquivalentTo(200))
		Expect(cached(150, "1,2")).To(BeEquivalentTo(150))
		Expect(cached(200, "5,6")).To(BeEquivalentTo(0))
		Expect(cached(250, "1,2")).To(BeEquivalentTo(100))
		events := read[yuccatarget.CacheEvents](url + "/v1/cache?after=1").Events
		Expect(events).To(Equal([]yuccatarget.CacheEvent{
			{Sequence: 2, Stored: []uint64{6, 5}, Evicted: []uint64{2}},
			{Sequence: 3, Stored: []uint64{2}, Evicted: []uint64{6}},
		}))
	})

	It("admits in the order of arrival and reports what waits", func() {
		eng, url := startEngine(yuccastand.WithSlots(1), yuccastand.WithRates(1_000_000, 1))
		for i, id := range []string{"a", "b", "c"} {
			go func() {
				defer GinkgoRecover()
				_, _, _ = ask(http.MethodPost, url+"/v1/generate?id="+id, []byte(`{"promptTokens":10,"answerTokens":100000}`))
			}()
			Eventually(eng.Runs).WithTimeout(limit).Should(HaveLen(i + 1))
		}
		for _, id := range []string{"a", "b", "c"} {
			Eventually(func() int { return read[yuccatarget.Load](url + "/v1/load").Running }).WithTimeout(limit).Should(Equal(1))
			status, _, err := ask(http.MethodDelete, url+"/v1/generate/"+id, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusNoContent))
		}
		for _, run := range eng.Runs() {
			Expect(run.Cancelled).To(BeTrue())
			Expect(run.Wasted).To(Equal(run.Prefilled))
		}
	})

	It("closes its port, and opens it again by itself", func() {
		eng, url := startEngine()
		load := func() error {
			_, _, err := ask(http.MethodGet, url+"/v1/load", nil)
			return err
		}
		eng.SetFaults(yuccastand.Faults{Dead: yuccastand.DeathRefuse})
		Expect(load()).NotTo(Succeed())
		eng.SetFaults(yuccastand.Faults{})
		Expect(load()).To(Succeed())
		status, _, err := ask(http.MethodPost, url+"/control/faults", []byte(`{"dead":"refuse","deadMillis":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Eventually(load).WithTimeout(limit).Should(Succeed())
	})
})

var _ = It("a plain service runs as many calls at once as it has slots", func() {
	plain := yuccastand.NewPlain(listen(), yuccastand.WithPlainSlots(1), yuccastand.WithWork(limit))
	url := "http://" + plain.Address()
	for _, id := range []string{"a", "b"} {
		go func() { _, _, _ = ask(http.MethodPost, url+"/v1/call/file-ticket?id="+id, nil) }()
	}
	Eventually(func() yuccatarget.Load { return read[yuccatarget.Load](url + "/v1/load") }).WithTimeout(limit).
		Should(Equal(yuccatarget.Load{Waiting: 1, Running: 1}))
	closed := make(chan error, 1)
	go func() { closed <- plain.Close() }()
	Eventually(closed).WithTimeout(limit / time.Duration(2)).Should(Receive(BeNil()))
})
