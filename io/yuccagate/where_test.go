package yuccagate_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccagate"
)

// ask returns what the gateway tells of a call.
func (cl call) ask(gt *gate) yuccagate.Outlook {
	head := cl.request(gt)
	head.Method = http.MethodGet
	reply := httptest.NewRecorder()
	gt.OutlookHandler().ServeHTTP(reply, head)
	var out yuccagate.Outlook
	Expect(json.Unmarshal(reply.Body.Bytes(), &out)).To(Succeed())
	return out
}

var _ = Describe("an operator's question where a request would go", func() {
	var here, there, full *engine
	BeforeEach(func() {
		here, there, full = newEngine("here", nil), newEngine("there", nil), newEngine("full", nil)
	})

	// Guards against the failure that the answer is another one than the request then gets, or that the question sends or charges anything.
	It("is answered with what the request then gets", func() {
		gt := newGateIn("odessa", "odessa-1")
		cfg := config()
		cfg.Routes[1].Regions = yuccaregion.Only("hills")
		Expect(gt.OfferConfiguration(encode(1, cfg), "test")).To(Succeed())
		leaving := entryIn("odessa", full, 4, 1)
		leaving.Leaving = true
		gt.OfferTargets([]yuccaroster.Entry{entryIn("odessa", here, 4, 1), entryIn("austin", there, 4, 1), leaving}, nil, true, 1, true)
		Eventually(func() int { return len(gt.Status().Targets) }).Should(Equal(3))
		told := call{path: "/ticket/", key: "k3"}.ask(gt)
		Expect(told.Problem).To(BeEmpty())
		Expect(told.Route).To(Equal("ticket"))
		Expect(told.Account).To(Equal(yuccaid.Account("still")))
		Expect(told.Quota).NotTo(BeNil())
		Expect(told.Pools).To(HaveLen(1))
		pool := told.Pools[0]
		Expect(pool.Target).To(Equal(yuccaid.Target("there")))
		excluded := make(map[yuccaid.Target]yuccaallow.Exclusion)
		for _, one := range pool.Targets {
			excluded[one.Target] = one.Excluded
		}
		Expect(excluded).To(Equal(map[yuccaid.Target]yuccaallow.Exclusion{"here": yuccaallow.OtherRegion, "there": yuccaallow.Allowed, "full": yuccaallow.Leaving}))
		Expect(append(here.requests(), there.requests()...)).To(BeEmpty())
		Expect(gt.Status().Pools).To(BeEmpty())
		Expect(gt.used("still")).To(BeZero())
		Expect(call{path: "/ticket/", key: "k3"}.do(gt).status).To(Equal(http.StatusOK))
		Expect(there.requests()).To(HaveLen(1))
		Eventually(func() bool { return call{path: "/ticket/"}.ask(gt).Pools[0].Leads }, 5*time.Second).Should(BeTrue())
	})

	DescribeTable("names what the daemon refuses itself",
		func(cl call, kind yuccagate.Kind) {
			gt := newGateIn("odessa", "odessa-1")
			gt.configure(1, config(), 4, here)
			told := cl.ask(gt)
			Expect(told.Problem).To(HavePrefix(string(kind)))
			Expect(told.Pools).To(BeEmpty())
		},
		Entry("no route", call{path: "/nothing/"}, yuccagate.KindNoRoute),
		Entry("an unknown key", call{path: "/ticket/", key: "k9"}, yuccagate.KindUnknownKey),
		Entry("a head that can't be read", call{path: "/ticket/", header: map[string]string{"X-Id": ""}}, yuccagate.KindMalformed),
	)

	It("is answered without a configuration, and where no target may be used", func() {
		gt := newGateIn("odessa", "odessa-1")
		Expect(call{path: "/ticket/"}.ask(gt).Problem).To(HavePrefix(string(yuccagate.KindNotReady)))
		cfg := config()
		cfg.Routes[1].Regions = yuccaregion.Only("hills")
		Expect(gt.OfferConfiguration(encode(1, cfg), "test")).To(Succeed())
		gt.OfferTargets([]yuccaroster.Entry{entryIn("odessa", here, 4, 1), entryIn("austin", there, 4, 1), yuccaroster.Evacuation("austin", 1)}, nil, true, 1, true)
		Eventually(func() int { return len(gt.Status().Targets) }).Should(Equal(2))
		Eventually(func() yuccagrant.Reason { return call{path: "/ticket/"}.ask(gt).Pools[0].Refused }, 10*time.Second).Should(Equal(yuccagrant.ReasonNoRegion))
		for _, one := range (call{path: "/ticket/"}).ask(gt).Pools[0].Targets {
			Expect(one.Excluded).To(Equal(map[yuccaid.Target]yuccaallow.Exclusion{"here": yuccaallow.OtherRegion, "there": yuccaallow.Evacuated}[one.Target]))
		}
	})
})
