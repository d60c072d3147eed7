package yuccaweb

import (
	"encoding/json"
	"strings"
	"testing"
)

// A body that a script garbled must be refused or read as what it says; a request
// that reads differently when written again would run with another body than asked.
func FuzzDecodeRequest(f *testing.F) {
	for _, seed := range []string{
		`{"pool":"draft","operation":"generate","tier":"urgent","deadlineMillis":1000,"prompt":"x","answerTokens":5}`,
		`{}`, `{"pool":1}`, `[]`, `{"pool":"a"}{"pool":"b"}`, `{"surplus":true}`, "\x00", `{"deadlineMillis":1e99}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		req, err := decodeRequest(strings.NewReader(body))
		if err != nil {
			return
		}
		raw, err := json.Marshal(req)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeRequest(strings.NewReader(string(raw)))
		if err != nil || again != req {
			t.Fatalf("%q became %+v, then %+v (%v)", body, req, again, err)
		}
	})
}
