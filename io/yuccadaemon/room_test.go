package yuccadaemon

import (
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccaconf"
)

var _ = Describe("a daemon that holds as much as it may", func() {
	// Letters have filled a daemon's memory, and then the hotline rings at it. A triage
	// note that is refused while letters wait is a report nobody acted on.
	It("refuses no urgent request while one of a lower tier waits", func() {
		now := time.Unix(1_700_000_000, 0)
		inc := yuccaid.NewIncarnation("entry-1", [16]byte{1})
		settings := yuccaconf.Defaults()
		settings.Limits.Requests = 3
		d := &Daemon{
			settings: &settings, key: yuccaid.Key("key"), metrics: newMetrics(), log: logger{target: log.NewNopLogger()},
			runs: make(map[yuccaid.RequestID]*run), peers: yuccapeer.New(yuccapeer.Member{VM: "entry-1", Centre: "odessa-1", Incarnation: inc}),
			owner: yuccaonce.New(inc, yuccaid.Key("key")), kept: yuccaonce.NewAnswerBuffer[*Answer](1<<20, time.Minute),
		}
		d.self.Incarnation, d.self.Centre = inc, "odessa-1"
		state := yuccastate.Empty()
		state.Targets = map[yuccaid.Target]yuccastate.Target{"engine-1": {Pool: "draft", Centre: "odessa-1"}}
		d.state.Store(state)
		admit := func(tier yuccaid.Tier, rank int) (*Answer, error) {
			id, err := d.owner.Open(now, "hotline")
			Expect(err).NotTo(HaveOccurred())
			now = now.Add(time.Millisecond)
			req := Request{Pool: "draft", Tier: tier, DeadlineMillis: 1000, Prompt: strings.Repeat("x", 100)}
			claim := yuccaonce.Submission{Account: "hotline", Pool: "draft", Tier: tier, Body: req.digest()}
			return d.admit(now, id, req, claim, yuccaqueue.Request{Account: "hotline", Tier: tier, Rank: rank, Pool: "draft"})
		}
		var letters []*Answer
		for range 3 {
			letter, err := admit("bulk", 2)
			Expect(err).NotTo(HaveOccurred())
			letters = append(letters, letter)
		}
		_, err := admit("bulk", 2)
		Expect(err).To(HaveOccurred())
		for at := range letters {
			_, err := admit("urgent", 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(letters[len(letters)-1-at].outcome.Reason).To(Equal(yuccaonce.ReasonDisplaced))
		}
		_, err = admit("urgent", 0)
		Expect(err).To(HaveOccurred())
		Expect(d.runs).To(HaveLen(3))
	})
})
