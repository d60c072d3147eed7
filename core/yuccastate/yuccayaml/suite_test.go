package yuccayaml_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate/yuccayaml"
)

func TestYuccayaml(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccayaml")
}

// sample has a field of every type that the files of this project use.
type sample struct {
	Text  string           `json:"text,omitempty"`
	Truth bool             `json:"truth,omitempty"`
	Count int              `json:"count,omitempty"`
	Small uint8            `json:"small,omitempty"`
	Rate  float64          `json:"rate,omitempty"`
	Span  time.Duration    `json:"span,omitempty"`
	Size  yuccaid.Bytes    `json:"size,omitempty"`
	Items []string         `json:"items,omitempty"`
	Table map[string]inner `json:"table,omitempty"`
	Other *inner           `json:"other,omitempty"`
}

type inner struct {
	Text string `json:"text"`
}

var _ = Describe("Decode", func() {
	DescribeTable("reports line, key and remedy",
		func(text string, kind error, want string) {
			_, err := yuccayaml.Decode([]byte(text), &sample{})
			Expect(err).To(MatchError(kind))
			Expect(err).To(MatchError(ContainSubstring(want)))
			var prob *yuccayaml.Problem
			Expect(errors.As(err, &prob)).To(BeTrue())
			Expect(prob.Remedy).NotTo(BeEmpty())
		},
		Entry("unknown key", "text: a\nTruth: true", yuccayaml.ErrUnknownKey, "line 2: Truth: no such key: use one of text"),
		Entry("key twice", "count: 1\n\ncount: 2", yuccayaml.ErrTwice, "line 3: count: stands on line 1 already"),
		Entry("merge key", "<<: {text: a}", yuccayaml.ErrUnknownKey, "line 1: <<"),
		Entry("key that is a list", "[a, b]: 1", yuccayaml.ErrSyntax, "line 1: a key is not plain text"),
		Entry("bare time", "span: 30", yuccayaml.ErrUnit, "line 1: span: 30 has no unit"),
		Entry("zero time", "span: 0", yuccayaml.ErrUnit, "span: 0 has no unit"),
		Entry("no time", "span: soon", yuccayaml.ErrUnit, `span: "soon" is not a duration`),
		Entry("bare size", "size: 30", yuccayaml.ErrUnit, `size: "30" is not a size`),
		Entry("size of another unit", "size: 30MB", yuccayaml.ErrUnit, `"30MB" is not a size`),
		Entry("size too large", "size: 9999999999GiB", yuccayaml.ErrUnit, "is not a size"),
		Entry("count with a unit", "count: 3s", yuccayaml.ErrUnit, "count"),
		Entry("count too large", "small: 256", yuccayaml.ErrValue, `small: "256" does not fit`),
		Entry("negative count", "small: -1", yuccayaml.ErrValue, "not negative"),
		Entry("octal-looking count", "count: 0o17", yuccayaml.ErrValue, "count"),
		Entry("quoted count", `count: "3"`, yuccayaml.ErrUnit, "without unit or quotes"),
		Entry("infinite rate", "rate: .inf", yuccayaml.ErrValue, "rate"),
		Entry("rate too large", "rate: 1e999", yuccayaml.ErrValue, "rate"),
		Entry("null text", "text:", yuccayaml.ErrValue, "text: has no value"),
		Entry("list for text", "text: [a]", yuccayaml.ErrValue, "write a single value"),
		Entry("text for list", "items: a", yuccayaml.ErrValue, "items: is not a list"),
		Entry("item of a list", "items:\n  - a\n  - [b]", yuccayaml.ErrValue, "line 3: items.1"),
		Entry("tab", "table:\n\tx: 1", yuccayaml.ErrSyntax, "spaces for indentation"),
		Entry("top level list", "- text", yuccayaml.ErrValue, "holds no keys"),
	)

	It("leaves the struct unchanged for an empty file", func() {
		into := sample{Count: 7}
		_, err := yuccayaml.Decode([]byte("# later\n"), &into)
		Expect(err).NotTo(HaveOccurred())
		Expect(into).To(Equal(sample{Count: 7}))
	})

	It("bounds the text of an error, but errors.Is finds all problems", func() {
		text := ""
		for i := range 70 {
			text += fmt.Sprintf("key-%d: 1\n", i)
		}
		_, err := yuccayaml.Decode([]byte(text+"span: 3"), &sample{})
		Expect(err).To(MatchError(ContainSubstring("and 21 more")))
		Expect(err).To(MatchError(yuccayaml.ErrUnit))
	})
})

// TestRoundTrip guards against a name such as "no" or "1e3" that is decoded as a bool or a
// number: two daemons would then compute different digests. It checks that Decode returns
// the value that Encode was given.
func TestRoundTrip(t *testing.T) {
	texts := rapid.OneOf(
		rapid.SampledFrom([]string{"no", "null", "~", "1e3", "0x1", "a: b", "- a", "'", "\"", "# x", " a ", "a\nb", "<<", "*a", "&a", "!t", "%", "2001-01-01", "="}),
		rapid.StringOf(rapid.RuneFrom([]rune("abz 09:-#'\"{}[],&*!|>%@é\n"))),
	)
	value := rapid.Custom(func(t *rapid.T) sample {
		in := sample{
			Text: texts.Draw(t, "text"), Truth: rapid.Bool().Draw(t, "truth"), Count: rapid.Int().Draw(t, "count"),
			Small: rapid.Uint8().Draw(t, "small"), Rate: rapid.Float64Range(-1e300, 1e300).Draw(t, "rate"),
			Span: time.Duration(rapid.Int64Min(0).Draw(t, "span")), Size: yuccaid.Bytes(rapid.Int64Min(0).Draw(t, "size")),
			Items: rapid.SliceOfN(texts, 1, 3).Draw(t, "items"),
			Table: map[string]inner{rapid.StringMatching("[a-z0-9]{1,5}").Draw(t, "key"): {Text: texts.Draw(t, "inner")}},
		}
		if rapid.Bool().Draw(t, "other") {
			in.Other = &inner{}
		}
		return in
	})
	rapid.Check(t, func(t *rapid.T) {
		in, out := value.Draw(t, "in"), sample{}
		text := yuccayaml.Encode(in)
		if _, err := yuccayaml.Decode(text, &out); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if fmt.Sprintf("%#v %v", out.Table, out.Items) != fmt.Sprintf("%#v %v", in.Table, in.Items) || string(yuccayaml.Encode(out)) != string(text) {
			t.Fatalf("%+v became %+v by\n%s", in, out, text)
		}
	})
}

func ExampleEncode() {
	fmt.Print(string(yuccayaml.Encode(sample{Text: "1.10", Span: 90 * time.Second, Size: 4 << 20})))
	// Output:
	// text: "1.10"
	// span: 1m30s
	// size: 4MiB
}
