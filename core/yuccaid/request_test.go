package yuccaid_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
)

var (
	fleetKey = yuccaid.Key("fleet key for tests")
	owner    = yuccaid.NewIncarnation("vm-1", [16]byte{1, 2, 3})
	issued   = time.UnixMilli(1_700_000_000_123)
)

var _ = Describe("a request id", func() {
	fields := yuccaid.RequestIDFields{Owner: owner, Counter: 42, Issued: issued}

	It("keeps its fields when signed and parsed", func() {
		parsed, err := fields.Sign(fleetKey).Parse(fleetKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Owner).To(Equal(fields.Owner))
		Expect(parsed.Counter).To(Equal(fields.Counter))
		Expect(parsed.Issued.Equal(fields.Issued)).To(BeTrue())
	})

	DescribeTable("is refused when no daemon of this fleet issued it",
		func(alter func(string) string) {
			id := yuccaid.RequestID(alter(string(fields.Sign(fleetKey))))
			_, err := id.Parse(fleetKey)
			Expect(err).To(MatchError(yuccaid.ErrForged))
		},
		Entry("empty", func(string) string { return "" }),
		Entry("another VM", func(s string) string { return strings.Replace(s, "vm-1", "vm-2", 1) }),
		Entry("another counter", func(s string) string { return strings.Replace(s, ".2a.", ".2b.", 1) }),
		Entry("no signature", func(s string) string { return s[:strings.LastIndex(s, ".")+1] }),
		Entry("another fleet's key", func(string) string { return string(fields.Sign(yuccaid.Key("other"))) }),
	)
})

// Parse must accept no other text than the result of Sign, for example no other spelling of a
// number, or one request would have several ids.
func FuzzRequestText(f *testing.F) {
	f.Add(string(yuccaid.RequestIDFields{Owner: owner, Counter: 1, Issued: issued}.Sign(fleetKey)))
	f.Add("a.b.c.d.e")
	f.Fuzz(func(t *testing.T, s string) {
		fields, err := yuccaid.RequestID(s).Parse(fleetKey)
		if err == nil && string(fields.Sign(fleetKey)) != s {
			t.Fatalf("Parse accepted %q, but Sign returns %q for its fields", s, fields.Sign(fleetKey))
		}
	})
}
