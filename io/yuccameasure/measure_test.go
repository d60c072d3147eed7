package yuccameasure

import (
	"bytes"
	"flag"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares with a file under testdata.
func golden(name string, got []byte) {
	GinkgoHelper()
	path := "testdata/" + name
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, got, 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got)).To(Equal(string(want)))
}

var _ = Describe("tables", func() {
	It("are written for people and as JSON lines", func() {
		var text, lines bytes.Buffer
		rows := []MembersRow{
			{Centres: 1, Daemons: 3, LoadAverage: 1.25, BytesMean: 12, BytesMax: 12.4, CoreMean: 0.004, ResidentMean: 13e6, Requests: 45},
			{Centres: 1, Daemons: 5, LoadAverage: 14, BytesMean: 1234.5, RequestBytes: 947, RequestMessages: 4},
		}
		Expect(membersTable(rows).Write(&text, &lines)).To(Succeed())
		Expect(fits("fits", membersFits(rows)).Write(&text, &lines)).To(Succeed())
		golden("members.txt", text.Bytes())
		golden("members.jsonl", lines.Bytes())
	})
})

var _ = DescribeTable("a fitted line",
	func(sizes, values []float64, intercept, slope, r2 float64) {
		fit := FitLine("cost", sizes, values)
		Expect(fit.Intercept).To(BeNumerically("~", intercept, 1e-9))
		Expect(fit.Slope).To(BeNumerically("~", slope, 1e-9))
		Expect(fit.R2).To(BeNumerically("~", r2, 1e-9))
		Expect(fit.At(10)).To(BeNumerically("~", intercept+10*slope, 1e-9))
	},
	Entry("goes through points on a line", []float64{1, 2, 4}, []float64{5, 7, 11}, 3.0, 2.0, 1.0),
	Entry("takes the least squares", []float64{0, 1, 2}, []float64{0, 0, 3}, -0.5, 1.5, 0.75),
	Entry("is flat through equal values", []float64{1, 2}, []float64{4, 4}, 4.0, 0.0, 1.0),
	Entry("has no slope with one size", []float64{3, 3}, []float64{4, 6}, 5.0, 0.0, 0.0),
	Entry("is empty without points", nil, nil, 0.0, 0.0, 0.0),
)

var _ = Describe("what daemons tell", func() {
	It("is counted once, by kind, at the sender", func() {
		counts, err := parseSent(strings.NewReader(`yuccacleat_ready 1
yuccacleat_link_messages_total{kind="offer",direction="sent"} 4
yuccacleat_link_bytes_total{kind="offer",direction="sent"} 400
yuccacleat_link_bytes_total{kind="offer",direction="received"} 900
yuccacleat_link_messages_total{kind="piece",direction="sent"} 7
yuccacleat_link_messages_total{kind="pulse",direction="sent"} 2
yuccacleat_link_bytes_total{kind="pulse",direction="sent"} 20
`))
		Expect(err).NotTo(HaveOccurred())
		Expect(counts).To(ConsistOf(
			kindCount{Kind: "offer", Messages: 4, Bytes: 400}, kindCount{Kind: "piece", Messages: 7}, kindCount{Kind: "pulse", Messages: 2, Bytes: 20},
		))
		Expect(control(counts)).To(Equal(kindCount{Kind: "control", Messages: 6, Bytes: 420}))
		grown := less(counts, []kindCount{{Kind: "offer", Messages: 3, Bytes: 300}}, 1)
		Expect(scaled(grown, 2)).To(HaveExactElements(
			kindCount{Kind: "offer", Messages: 0.5, Bytes: 50}, kindCount{Kind: "pulse", Messages: 1, Bytes: 10}, kindCount{Kind: "piece", Messages: 3.5},
		))
	})

	It("is read from a stat line whose command holds blanks and brackets", func() {
		ticks, pages, err := parseStat("7 (a ) b) S 1 7 7 0 -1 4194560 9 0 0 0 130 20 0 0 20 0 9 0 77 1000 321 18446744073709551615")
		Expect(err).NotTo(HaveOccurred())
		Expect(ticks).To(BeEquivalentTo(150))
		Expect(pages).To(BeEquivalentTo(321))
	})

	It("is refused when the stat line is cut short", func() {
		_, _, err := parseStat("7 (a) S 1")
		Expect(err).To(HaveOccurred())
	})
})
