package yuccatarget_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"yuccacleat/io/yuccatarget"
)

const lineLimit = 1 << 10

// FuzzDecoder feeds arbitrary bytes. A line that was cut short must never pass for a
// whole one, and what was read must be what the bytes say.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte(`{"id":"a","position":1,"tokens":2,"data":"x "}` + "\n" + `{"id":"a","end":true,"pieces":2,"hash":"00"}` + "\n"))
	f.Add([]byte(`{"id":"a"}`))
	f.Add([]byte("\n"))
	f.Add([]byte(`{"id":"` + strings.Repeat("a", 2*lineLimit) + `"}` + "\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		dec := yuccatarget.NewDecoder(bytes.NewReader(raw), lineLimit)
		rest := raw
		for {
			line, err := dec.Next()
			text, after, whole := bytes.Cut(rest, []byte("\n"))
			if err == io.EOF && len(rest) > 0 {
				t.Fatalf("end of file with %q left", rest)
			}
			if err != nil {
				return
			}
			if !whole || len(text) >= lineLimit {
				t.Fatalf("%q passed for a line", text)
			}
			var want yuccatarget.Line
			if json.Unmarshal(text, &want) != nil || want != line {
				t.Fatalf("%q read as %+v", text, line)
			}
			rest = after
		}
	})
}
