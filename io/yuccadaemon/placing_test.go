package yuccadaemon

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccawire"
)

func TestYuccadaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccadaemon")
}

// sent encodes and decodes a message as a peer would receive it.
func sent[T any](kind yuccawire.Kind, message T) (back T, size int) {
	GinkgoHelper()
	raw, err := yuccawire.Encode(kind, message)
	Expect(err).NotTo(HaveOccurred())
	const header = 4 + 2
	Expect(yuccawire.Frame{Kind: kind, Body: raw[header:]}.Decode(&back)).To(Succeed())
	return back, len(raw)
}

var _ = Describe("messages between owners and leaders", func() {
	var d *Daemon
	var id yuccaid.RequestID
	BeforeEach(func() {
		self := yuccaid.NewIncarnation("entry-1", [16]byte{1})
		d = &Daemon{key: yuccaid.Key("key")}
		d.self.Incarnation = self
		d.self.Centre = "odessa-1"
		state := yuccastate.Empty()
		state.Tiers = map[yuccaid.Tier]yuccastate.Tier{"urgent": {Rank: 0}, "normal": {Rank: 1}}
		d.state.Store(state)
		id = yuccaid.RequestIDFields{Owner: self, Counter: 70_000, Issued: time.UnixMilli(1_800_000_000_000)}.Sign(d.key)
	})

	It("bring everything that placing needs, in few bytes", func() {
		ask := yuccaqueue.Request{
			ID: id, Owner: d.self.Incarnation, Account: "hotline", Tier: "normal", Rank: 1, Pool: "draft", Idempotent: true,
			Remaining: 90 * time.Second, Prompt: 1500, Answer: 300, Prefixes: []uint64{1 << 60, 1 << 61}, Centre: "odessa-1",
		}
		offer, bytes := sent(yuccawire.KindOffer, d.wireOffer(ask))
		Expect(d.ask(d.self.Incarnation, offer)).To(Equal(ask))
		Expect(bytes).To(BeNumerically("<=", 80))

		finished := yuccapool.Finished{
			ID: id, Target: "engine-1", Ran: true, Leaving: true, Prompt: 1500, Cached: 256, Answer: 300,
			Prefill: 400 * time.Millisecond, Decode: 9 * time.Second,
		}
		message, bytes := sent(yuccawire.KindFinished, d.wireFinished("draft", finished))
		Expect(d.finished(d.self.Incarnation, message)).To(Equal(finished))
		Expect(bytes).To(BeNumerically("<=", 60))

		grant, bytes := sent(yuccawire.KindGrant, yuccawire.Grant{Pool: "draft", Ref: d.ref(id), Target: "engine-1", ExpiresMillis: 2000, Number: 1000})
		Expect(d.grant(d.self.Incarnation, grant)).To(Equal(yuccapool.Grant{
			ID: id, Owner: d.self.Incarnation, Leader: d.self.Incarnation, Target: "engine-1", ValidFor: 2 * time.Second, ConfigNumber: 1000,
		}))
		Expect(bytes).To(BeNumerically("<=", 50))
	})
})
