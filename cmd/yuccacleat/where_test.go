package main_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccagate"
)

// newOutlookServer starts a daemon's operator address that answers one request's head with an outlook.
func newOutlookServer(out yuccagate.Outlook) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/where/notes/" || r.Host != "desk.example" || r.Header.Get("X-Key") != "k1: 2" {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(out)
	}))
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

// outlookOf returns an outlook in which a pool's leader would send a request to a target.
func outlookOf(centre yuccaid.Centre, vm, leader yuccaid.VM) yuccagate.Outlook {
	targets := []yuccagate.TargetOutlook{
		{Target: "drafter-1", Centre: "odessa", ExpectedFirstMillis: 55, CostMillis: 60, Busy: 1, Slots: 4, Held: 600, OnTime: true},
		{Target: "drafter-2", Centre: "odessa", ExpectedFirstMillis: 40, CostMillis: 45, Slots: 4},
		{Target: "drafter-3", Centre: "austin", Excluded: "region"},
		{Target: "drafter-4", Centre: "odessa", Excluded: "cold"},
		{Target: "drafter-5", Centre: "austin", Excluded: "region"},
	}
	for _, name := range []yuccaid.Target{"drafter-6", "drafter-7", "drafter-8", "drafter-9"} {
		targets = append(targets, yuccagate.TargetOutlook{Target: name, Centre: "odessa", ExpectedFirstMillis: 60, CostMillis: 90, Busy: 3, Slots: 4, OnTime: true})
	}
	return yuccagate.Outlook{
		VM: vm, Centre: centre, Number: 12, PlatformAgeMillis: 130, Route: "notes", Account: "rally",
		Quota: &yuccagate.AccountStatus{Account: "rally", Used: 40, Limit: 104},
		Pools: []yuccagate.PoolOutlook{{
			Pool: "drafter", Weight: 1, Leader: leader, Leads: leader == vm,
			Target: "drafter-1", ExpectedFirstMillis: 55, FetchFrom: "drafter-2", Targets: targets,
		}},
	}
}

var _ = Describe("where", func() {
	var dir string
	BeforeEach(func() { dir = GinkgoT().TempDir() })

	writeDaemons := func(addresses ...string) {
		Expect(os.WriteFile(filepath.Join(dir, "daemons.txt"), []byte(strings.Join(addresses, "\n")+"\n"), 0o600)).To(Succeed())
	}
	ask := func() (string, int) {
		return tool(dir, "where", "--daemons", "daemons.txt", "--host", "desk.example", "--header", "X-Key: k1: 2", "/notes/")
	}

	It("shows the leader's answer for each data centre", func() {
		waiting, refused := outlookOf("lubbock", "lubbock-1", "lubbock-1"), outlookOf("pecos", "pecos-1", "")
		waiting.Pools[0].Target, waiting.Pools[0].Ahead, waiting.Pools[0].WaitMillis, waiting.Pools[0].Targets = "", 7, 800, nil
		waiting.Account, waiting.Quota = "", nil
		refused.Pools[0].Target, refused.Pools[0].Refused, refused.Pools[0].Targets = "", yuccagrant.ReasonNoRegion, nil
		refused.Quota, refused.PlatformAgeMillis = nil, -1
		problem := yuccagate.Outlook{VM: "waco-1", Centre: "waco", Problem: "noRoute: use a host and path that the configuration routes"}
		writeDaemons(
			newOutlookServer(outlookOf("odessa", "odessa-2", "odessa-1")), newOutlookServer(outlookOf("odessa", "odessa-1", "odessa-1")),
			newOutlookServer(outlookOf("austin", "austin-2", "austin-1")), newOutlookServer(waiting), newOutlookServer(refused), newOutlookServer(problem),
		)
		output, code := ask()
		Expect(code).To(Equal(0), output)
		path := filepath.Join("testdata", "where.golden")
		if *update {
			Expect(os.WriteFile(path, []byte(output), 0o600)).To(Succeed())
		}
		expected, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(output).To(Equal(string(expected)))
	})

	// The daemon that decides may be the one that doesn't answer, so what is missing is said.
	It("names the daemons that don't answer or don't know the question", func() {
		older := httptest.NewServer(http.NotFoundHandler())
		defer older.Close()
		address := older.Listener.Addr().String()
		writeDaemons(address, newOutlookServer(outlookOf("odessa", "odessa-1", "odessa-1")))
		output, code := ask()
		Expect(code).To(Equal(0), output)
		Expect(output).To(ContainSubstring("1 of 2 daemons didn't answer, and what they know is missing: " + address))
		Expect(output).To(ContainSubstring("it would go to drafter-1"))
		writeDaemons(address)
		output, code = ask()
		Expect(code).To(Equal(1))
		Expect(output).To(ContainSubstring("no daemon answered: check that daemons.txt lists operator addresses of running daemons"))
	})

	DescribeTable("says what to mend in a question",
		func(remedy string, args ...string) {
			writeDaemons("127.0.0.1:1")
			output, code := tool(dir, append([]string{"where", "--daemons", "daemons.txt", "--host", "desk.example"}, args...)...)
			Expect(code).To(Equal(2))
			Expect(output).To(ContainSubstring(remedy))
		},
		Entry("a path without its slash", "name the path that the caller would request", "notes/"),
		Entry("a header field without a name", "write it as 'Name: value'", "--header", "k1", "/notes/"),
	)
})
