package yuccastand_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccastand"
)

func startPlatform(options ...yuccastand.PlatformOption) (plat *yuccastand.Platform, url string) {
	plat = yuccastand.NewPlatform(listen(), options...)
	DeferCleanup(plat.Close)
	return plat, "http://" + plat.Address()
}

func watch(url string, after, waitMillis int) yuccastand.Page {
	GinkgoHelper()
	return read[yuccastand.Page](fmt.Sprintf("%s/v1/keys?prefix=notes/&after=%d&waitMillis=%d", url, after, waitMillis))
}

func put(plat *yuccastand.Platform, key, value string) {
	GinkgoHelper()
	_, err := plat.Put(key, []byte(value))
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("the platform's service", func() {
	It("answers a watch at once, or when something changes under the prefix", func() {
		plat, url := startPlatform()
		put(plat, "notes/1", "a")
		put(plat, "other", "b")
		put(plat, "notes/1", "c")
		Expect(watch(url, 0, 60_000)).To(Equal(yuccastand.Page{
			Revision: 3, Entries: []yuccastand.Entry{{Key: "notes/1", Value: []byte("c"), Revision: 3}},
		}))
		Expect(watch(url, 3, 10).Entries).To(BeEmpty())
		pages := make(chan yuccastand.Page, 1)
		go func() {
			defer GinkgoRecover()
			pages <- watch(url, 3, 60_000)
		}()
		Eventually(func() int64 { return plat.Counts().Waiting }).WithTimeout(limit).Should(BeEquivalentTo(1))
		put(plat, "other", "d")
		put(plat, "notes/2", "e")
		var page yuccastand.Page
		Eventually(pages).WithTimeout(limit).Should(Receive(&page))
		Expect(page.Entries).To(Equal([]yuccastand.Entry{{Key: "notes/2", Value: []byte("e"), Revision: 5}}))
		plat.Remove("notes/1")
		Expect(watch(url, 0, 0).Entries).To(HaveLen(1))
		Expect(plat.Counts()).To(Equal(yuccastand.Counts{Calls: 4, Watches: 4}))
	})

	It("gives a page at most a megabyte and refuses a larger value", func() {
		plat, url := startPlatform()
		for _, key := range []string{"notes/1", "notes/2", "notes/3"} {
			put(plat, key, string(make([]byte, yuccastand.MaxValue/2)))
		}
		first := watch(url, 0, 0)
		Expect(first.Entries).To(HaveLen(2))
		Expect(first.More).To(BeTrue())
		Expect(watch(url, 2, 0)).To(And(HaveField("More", false), HaveField("Entries", HaveLen(1))))
		large := make([]byte, yuccastand.MaxValue+1)
		_, err := plat.Put("notes/4", large)
		Expect(err).To(MatchError(&yuccastand.TooLargeError{Key: "notes/4", Size: len(large)}))
		status, _, err := ask(http.MethodPut, url+"/control/keys/notes/4", large)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("takes keys, VMs and faults over HTTP", func() {
		_, url := startPlatform()
		for _, row := range []struct{ method, path, body string }{
			{http.MethodPut, "/control/keys/notes/1", "a"},
			{http.MethodPut, "/control/vms", `{"vms":[{"vm":"vm-1","centre":"c","address":"127.0.0.1:1","kind":"entry","state":"live"}]}`},
			{http.MethodPut, "/control/keys/notes/1", "b"},
			{http.MethodPost, "/control/faults", `{"staleRevision":1}`},
		} {
			status, _, err := ask(row.method, url+row.path, []byte(row.body))
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(BeElementOf(http.StatusOK, http.StatusNoContent))
		}
		_, value, err := ask(http.MethodGet, url+"/v1/keys/notes/1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(value)).To(Equal("a"))
		status, _, err := ask(http.MethodGet, url+"/v1/keys/notes/2", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(read[yuccastand.VMPage](url + "/v1/vms").VMs).To(HaveLen(1))
		Expect(read[yuccastand.Counts](url + "/control/counts")).To(Equal(yuccastand.Counts{Calls: 3, Gets: 2, Lists: 1}))
	})

	It("goes back to an older revision, and lags with the list of VMs", func() {
		plat, url := startPlatform()
		put(plat, "notes/1", "a")
		put(plat, "notes/2", "b")
		plat.SetVMs([]yuccastand.VMEntry{{VM: "vm-1", State: "live"}})
		plat.SetFaults(yuccastand.PlatformFaults{StaleRevision: 1, ListLagMillis: limit.Milliseconds()})
		plat.SetVMs([]yuccastand.VMEntry{{VM: "vm-1", State: "leaving"}})
		Expect(watch(url, 0, 0)).To(And(HaveField("Revision", BeEquivalentTo(1)), HaveField("Entries", HaveLen(1))))
		Expect(watch(url, 2, 0)).To(And(HaveField("Revision", BeEquivalentTo(1)), HaveField("Entries", BeEmpty())))
		Expect(read[yuccastand.VMPage](url + "/v1/vms").VMs[0].State).To(Equal("live"))
		plat.SetFaults(yuccastand.PlatformFaults{})
		Expect(watch(url, 0, 0).Entries).To(HaveLen(2))
		Expect(read[yuccastand.VMPage](url + "/v1/vms").VMs[0].State).To(Equal("leaving"))
	})

	It("hangs up on every call while it is down, waiting ones too", func() {
		plat, url := startPlatform()
		failed := make(chan error, 1)
		go func() {
			_, _, err := ask(http.MethodGet, url+"/v1/keys?waitMillis=60000", nil)
			failed <- err
		}()
		Eventually(func() int64 { return plat.Counts().Waiting }).WithTimeout(limit).Should(BeEquivalentTo(1))
		plat.SetFaults(yuccastand.PlatformFaults{Down: true})
		Eventually(failed).WithTimeout(limit).Should(Receive(HaveOccurred()))
		_, _, err := ask(http.MethodGet, url+"/v1/vms", nil)
		Expect(err).To(HaveOccurred())
		Expect(plat.Counts().Down).To(BeEquivalentTo(1))
	})

	// Something between has lost track of a waiting watch. It never hears of a change that
	// happens, while a new watch does.
	It("leaves a waiting watch silent while new ones work", func() {
		plat, url := startPlatform()
		answered := make(chan error, 1)
		go func() {
			_, _, err := ask(http.MethodGet, url+"/v1/keys?prefix=notes/&waitMillis=60000", nil)
			answered <- err
		}()
		Eventually(func() int64 { return plat.Counts().Waiting }).WithTimeout(limit).Should(BeEquivalentTo(1))
		plat.SetFaults(yuccastand.PlatformFaults{Mute: true})
		Eventually(func() int64 { return plat.Counts().Silent }).WithTimeout(limit).Should(BeEquivalentTo(1))
		plat.SetFaults(yuccastand.PlatformFaults{})
		put(plat, "notes/1", "a")
		Expect(watch(url, 0, 60_000).Entries).To(HaveLen(1))
		Expect(answered).NotTo(Receive())
	})

	It("answers calls over its rate with 429", func() {
		plat, url := startPlatform(yuccastand.WithReadRate(0, 2))
		for _, want := range []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests} {
			status, _, err := ask(http.MethodGet, url+"/v1/vms", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(want))
		}
		Expect(plat.Counts().Limited).To(BeEquivalentTo(1))
	})
})
