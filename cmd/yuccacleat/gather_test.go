package main_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newLineServer starts a daemon's operator address that knows the lines of one request.
func newLineServer(request, lines string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/requests/"+request {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(lines))
	}))
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

var _ = Describe("explain --daemons", func() {
	var dir string

	BeforeEach(func() { dir = GinkgoT().TempDir() })

	writeDaemons := func(addresses ...string) {
		Expect(os.WriteFile(filepath.Join(dir, "daemons.txt"), []byte(strings.Join(addresses, "\n")+"\n"), 0o600)).To(Succeed())
	}

	It("shows what the daemons know about a request", func() {
		writeDaemons(
			newLineServer("r1", `{"at":"2026-07-21T21:58:25Z","event":"sent","vm":"entry-1","request":"r1","target":"drafter-2","send":1,"leader":"entry-2"}`+"\n"),
			newLineServer("r2", ""),
		)
		output, code := tool(dir, "explain", "--daemons", "daemons.txt", "r1")
		Expect(code).To(Equal(0), output)
		Expect(output).To(MatchRegexp(`entry-1 +sent to drafter-2`))
		Expect(output).To(ContainSubstring("leader entry-2"))
	})

	// The daemon that had the request may be the one that doesn't answer, so what is missing is said.
	It("names the daemons that don't answer", func() {
		gone := httptest.NewServer(http.NotFoundHandler())
		address := gone.Listener.Addr().String()
		gone.Close()
		writeDaemons(address, newLineServer("r1", `{"at":"2026-07-21T21:58:25Z","event":"sent","vm":"entry-1","request":"r1"}`+"\n"))
		output, code := tool(dir, "explain", "--daemons", "daemons.txt", "r1")
		Expect(code).To(Equal(0), output)
		Expect(output).To(ContainSubstring("1 of 2 daemons didn't answer, and what they know is missing: " + address))
	})

	// Guards against the failure that lines are missing from the story without a word, because a part of
	// an answer was taken for all of it, or joined with the lines of the next daemon.
	DescribeTable("names the daemons whose answers are truncated",
		func(lines string) {
			address := newLineServer("r1", lines)
			writeDaemons(address, newLineServer("r1", `{"at":"2026-07-21T21:58:26Z","event":"sent","vm":"entry-2","request":"r1"}`+"\n"))
			output, code := tool(dir, "explain", "--daemons", "daemons.txt", "r1")
			Expect(code).To(Equal(0), output)
			Expect(output).To(ContainSubstring("1 of 2 daemons didn't answer, and what they know is missing: " + address))
			Expect(output).To(ContainSubstring("entry-2"))
		},
		Entry("inside a line", `{"at":"2026-07-21T21:58:25Z","event":"sent","vm":"entry-1","request":"r1"`),
		Entry("by the limit on their length", strings.Repeat("{}\n", 3<<20)),
	)

	It("fails if no daemon knows the request, or the file lists none", func() {
		writeDaemons(newLineServer("r2", ""))
		_, code := tool(dir, "explain", "--daemons", "daemons.txt", "r1")
		Expect(code).To(Equal(2))
		writeDaemons("")
		output, code := tool(dir, "explain", "--daemons", "daemons.txt", "r1")
		Expect(code).To(Equal(2))
		Expect(output).To(ContainSubstring("lists no daemon: write one operator address on each line"))
	})
})
