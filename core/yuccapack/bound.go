package yuccapack

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// deepest is more than any message nests.
const deepest = 16

// ErrLength says that a value announces more than follows it.
var ErrLength = errors.New("a length exceeds what follows: send the value again")

// ErrTrailing says that bytes follow a value.
var ErrTrailing = errors.New("bytes follow the value: send one value only")

// Check reports whether raw is one msgpack value whose lengths fit into its bytes.
func Check(raw []byte) error {
	rest, err := skip(raw, deepest)
	if err == nil && len(rest) > 0 {
		return ErrTrailing
	}
	return err
}

// skip returns what follows one value.
func skip(raw []byte, depth int) ([]byte, error) {
	if len(raw) == 0 || depth == 0 {
		return nil, ErrLength
	}
	code, rest := raw[0], raw[1:]
	switch {
	case msgpcode.IsFixedNum(code) || code == msgpcode.Nil || code == msgpcode.True || code == msgpcode.False:
		return rest, nil
	case msgpcode.IsFixedString(code):
		return cut(rest, uint64(code&msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(code):
		return skipAll(rest, uint64(code&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedMap(code):
		return skipAll(rest, 2*uint64(code&msgpcode.FixedMapMask), depth)
	}
	return skipSized(code, rest, depth)
}

// skipSized skips a value whose length stands in bytes of its own.
func skipSized(code byte, raw []byte, depth int) ([]byte, error) {
	switch code {
	case msgpcode.Uint8, msgpcode.Int8:
		return cut(raw, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return cut(raw, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return cut(raw, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return cut(raw, 8)
	}
	width, known := lengthWidths[code]
	if !known || len(raw) < width {
		return nil, ErrLength
	}
	var padded [8]byte
	copy(padded[8-width:], raw)
	length, rest := binary.BigEndian.Uint64(padded[:]), raw[width:]
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return skipAll(rest, length, depth)
	case msgpcode.Map16, msgpcode.Map32:
		return skipAll(rest, 2*length, depth)
	default:
		return cut(rest, length)
	}
}

// lengthWidths holds how many bytes a length takes; extension types are not used here.
var lengthWidths = map[byte]int{
	msgpcode.Str8: 1, msgpcode.Str16: 2, msgpcode.Str32: 4,
	msgpcode.Bin8: 1, msgpcode.Bin16: 2, msgpcode.Bin32: 4,
	msgpcode.Array16: 2, msgpcode.Array32: 4,
	msgpcode.Map16: 2, msgpcode.Map32: 4,
}

func skipAll(raw []byte, count uint64, depth int) ([]byte, error) {
	var err error
	for range count {
		if raw, err = skip(raw, depth-1); err != nil {
			return nil, err
		}
	}
	return raw, nil
}

func cut(raw []byte, length uint64) ([]byte, error) {
	if length > uint64(len(raw)) {
		return nil, ErrLength
	}
	return raw[length:], nil
}
