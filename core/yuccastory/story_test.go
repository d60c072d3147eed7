package yuccastory_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastory"
)

var _ = Describe("a story", func() {
	DescribeTable("is in the order of time, with the state changes before it",
		func(request string) {
			logs, err := os.ReadFile("testdata/fleet.log")
			Expect(err).NotTo(HaveOccurred())
			story, err := yuccastory.Read(bytes.NewReader(logs), request)
			Expect(err).NotTo(HaveOccurred())
			golden(request, story.String())
		},
		Entry("of a stream that broke off", "note-1"),
		Entry("of a refusal although slots were free", "letter-7"),
		Entry("of an account that is limited after a restart", "letter-8"),
		Entry("of a request that may have run", "ticket-3"),
		Entry("of one whose end is missing", "ticket-9"),
		Entry("of a prompt whose parts were fetched", "note-4"),
		Entry("of a refusal by the account's leader", "note-5"),
		Entry("of a stream that ended inside an event", "note-6"),
		Entry("of resends that the budget allowed and refused", "lookup-2"),
		Entry("of a prompt with a part on which targets crash", "note-7"),
		Entry("of one that tries such a part again", "note-8"),
		Entry("of a silent target that kept its request", "lookup-3"),
		Entry("of one whose regions have no target", "note-9"),
	)

	It("is the same whatever order the logs come in", func() {
		logs, err := os.ReadFile("testdata/fleet.log")
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(string(logs)), "\n")
		moved := append(append([]string{}, lines[7:]...), lines[:7]...)
		one, err := yuccastory.Read(bytes.NewReader(logs), "letter-7")
		Expect(err).NotTo(HaveOccurred())
		other, err := yuccastory.Read(strings.NewReader(strings.Join(moved, "\n")), "letter-7")
		Expect(err).NotTo(HaveOccurred())
		Expect(other.String()).To(Equal(one.String()))
	})

	It("doesn't exist for a request that no line names", func() {
		_, err := yuccastory.Read(strings.NewReader("{}\n"), "r1")
		Expect(err).To(MatchError(yuccastory.ErrUnknown))
	})
})

func FuzzRead(f *testing.F) {
	logs, err := os.ReadFile("testdata/fleet.log")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(logs, "note-1")
	f.Add([]byte(`{"at":"2026-07-21T21:58:20Z","event":"sent","request":"r","busy":{"a":[1]}}`), "r")
	f.Fuzz(func(t *testing.T, logs []byte, request string) {
		story, err := yuccastory.Read(bytes.NewReader(logs), request)
		if err == nil && !strings.Contains(story.String(), "outcome:") {
			t.Fatal("a story without an outcome")
		}
	})
}
