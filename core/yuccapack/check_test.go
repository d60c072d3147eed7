package yuccapack_test

import (
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccapack"
)

// Guards against values that announce more bytes or items than they hold, because the
// values are damaged or hostile. A decoder would allocate memory for the announced
// length, and a value of a few bytes could end the process. Check must refuse such
// values, and the decoder must survive every value that Check accepts.
func FuzzCheck(f *testing.F) {
	for _, value := range []any{1, "text", []int{1, 2}, map[string]int{"a": 1}, nil, 2.5, []byte("x")} {
		raw, err := msgpack.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		if err := yuccapack.Check(raw); err != nil {
			f.Fatalf("Check refused the encoding of %v: %v", value, err)
		}
		f.Add(raw)
	}
	for _, hostile := range [][]byte{{0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdf, 0xff, 0xff, 0xff, 0xff}, {0xc6, 0xff, 0xff, 0xff, 0xff}, {}} {
		if !errors.Is(yuccapack.Check(hostile), yuccapack.ErrLength) {
			f.Fatalf("Check did not refuse % x with ErrLength", hostile)
		}
		f.Add(hostile)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		if yuccapack.Check(raw) != nil {
			return
		}
		var value any
		_ = msgpack.Unmarshal(raw, &value)
	})
}
