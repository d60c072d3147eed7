package yuccawire_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccawire"
)

var _ = Describe("a configuration between daemons", func() {
	route := []byte(`{"name": "r-1", "host": "desk.example", "prefix": "/ticket/", "route_kind": "non_idempotent", "timeout_ms": 2000},`)
	text := bytes.Repeat(route, 1400)

	It("is the same text, compressed or not", func() {
		for _, table := range []yuccawire.Table{{Raw: text}, {Packed: yuccawire.PackTable(text)}, {Packed: yuccawire.PackTable(nil)}} {
			got, err := table.Text()
			Expect(err).NotTo(HaveOccurred())
			Expect(len(got)).To(BeElementOf(0, len(text)))
		}
		got, _ := yuccawire.Table{Packed: yuccawire.PackTable(text)}.Text()
		Expect(bytes.Equal(got, text)).To(BeTrue())
	})

	It("takes a tenth of its text's length at most", func() {
		Expect(len(yuccawire.PackTable(text))).To(BeNumerically("<", len(text)/10))
	})

	// A message is cut short, or a few compressed bytes stand for gigabytes. Either must end in an
	// error, without taking the memory of the process.
	It("is refused when it is garbled or too long", func() {
		packed := yuccawire.PackTable(text)
		for _, broken := range [][]byte{packed[:len(packed)/2], {1, 2, 3}, yuccawire.PackTable(make([]byte, 5<<20))} {
			_, err := yuccawire.Table{Packed: broken}.Text()
			Expect(err).To(HaveOccurred())
		}
	})
})

func FuzzTableText(f *testing.F) {
	f.Add(yuccawire.PackTable([]byte("{}")))
	f.Add([]byte{0x1f, 0x8b})
	f.Fuzz(func(_ *testing.T, packed []byte) {
		_, _ = yuccawire.Table{Packed: packed}.Text()
	})
}
