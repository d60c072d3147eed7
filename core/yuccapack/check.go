package yuccapack

import (
	"encoding/binary"
	"errors"
)

// maxDepth bounds the nesting of arrays and maps. The project's messages need four
// levels. Without a bound, a value that consists only of nested array headers would
// make a recursive decoder use hundreds of megabytes of stack.
const maxDepth = 32

var (
	// ErrLength means that a value announces more bytes or items than follow its
	// header, or that a value is missing.
	ErrLength = errors.New("a length exceeds the bytes that follow: send the value again")
	// ErrTrailing means that bytes follow the value.
	ErrTrailing = errors.New("bytes follow the value: send one value only")
	// ErrTooDeep means that arrays and maps are nested too deep.
	ErrTooDeep = errors.New("the value is nested too deep: send a flatter one")
	// ErrInvalidCode means that a byte is not a msgpack type code.
	ErrInvalidCode = errors.New("a byte is not a msgpack type code: send the value again")
)

// Check validates one msgpack value without recursion and without allocating. It
// refuses a value that is truncated, followed by further bytes or nested too deep,
// before a decoder allocates memory for a length that the value announces.
func Check(body []byte) error {
	var remaining [maxDepth]uint64 // values still to be read, by depth
	depth := 0
	remaining[0] = 1
	for {
		for remaining[depth] == 0 {
			if depth == 0 {
				return checkEnd(body)
			}
			depth--
		}
		remaining[depth]--
		size, items, err := readHeader(body)
		if err != nil {
			return err
		}
		body = body[size:]
		if items == 0 {
			continue
		}
		if depth+1 == maxDepth {
			return ErrTooDeep
		}
		depth++
		remaining[depth] = items
	}
}

// checkEnd refuses bytes after the value.
func checkEnd(rest []byte) error {
	if len(rest) > 0 {
		return ErrTrailing
	}
	return nil
}

// layout describes the bytes of a value after its type code: lengthBytes bytes of a
// count, then fixed further bytes. perItem is the number of nested values for each
// counted item: 1 for arrays, 2 for maps, and 0 if bytes are counted or nothing is.
type layout struct {
	lengthBytes int
	fixed       uint64
	perItem     uint64
}

// layouts holds the layouts of the type codes from 0xc0 to 0xdf.
var layouts = [...]layout{
	// 0xc0 to 0xc3: nil, an unused code, false, true
	{},
	{},
	{},
	{},
	// 0xc4 to 0xc6: binary
	{1, 0, 0},
	{2, 0, 0},
	{4, 0, 0},
	// 0xc7 to 0xc9: extension; its type byte is the further byte
	{1, 1, 0},
	{2, 1, 0},
	{4, 1, 0},
	// 0xca and 0xcb: floats
	{0, 4, 0},
	{0, 8, 0},
	// 0xcc to 0xcf: unsigned integers
	{0, 1, 0},
	{0, 2, 0},
	{0, 4, 0},
	{0, 8, 0},
	// 0xd0 to 0xd3: signed integers
	{0, 1, 0},
	{0, 2, 0},
	{0, 4, 0},
	{0, 8, 0},
	// 0xd4 to 0xd8: extensions of fixed size, with their type byte
	{0, 2, 0},
	{0, 3, 0},
	{0, 5, 0},
	{0, 9, 0},
	{0, 17, 0},
	// 0xd9 to 0xdb: string
	{1, 0, 0},
	{2, 0, 0},
	{4, 0, 0},
	// 0xdc and 0xdd: array
	{2, 0, 1},
	{4, 0, 1},
	// 0xde and 0xdf: map, with a key and a value for each item
	{2, 0, 2},
	{4, 0, 2},
}

// The constants up to fixString are type codes, each the first of its range unless its
// name says otherwise. Codes below fixMap and above lastLayoutCode are small integers.
// countMask selects the bits of a fixMap or fixArray code that hold the number of
// items, and lengthMask the bits of a fixString code that hold the length in bytes.
const (
	firstLayoutCode = 0xc0
	unusedCode      = 0xc1
	lastLayoutCode  = 0xdf
	fixMap          = 0x80
	fixArray        = 0x90
	fixString       = 0xa0
	countMask       = 0x0f
	lengthMask      = 0x1f
)

// readHeader reads the type code and length at the start of body. It returns how many
// bytes the value takes without the values nested inside it, and how many values are
// nested directly inside it.
func readHeader(body []byte) (size int, items uint64, err error) {
	if len(body) == 0 {
		return 0, 0, ErrLength
	}
	code := body[0]
	switch {
	case code < fixMap, code > lastLayoutCode:
		return 1, 0, nil
	case code < fixArray:
		return 1, 2 * uint64(code&countMask), nil
	case code < fixString:
		return 1, uint64(code & countMask), nil
	case code < firstLayoutCode:
		return checkBounds(body, 1+uint64(code&lengthMask), 0)
	case code == unusedCode:
		return 0, 0, ErrInvalidCode
	}
	return readLayoutHeader(body, layouts[code-firstLayoutCode])
}

// readLayoutHeader is readHeader for a type code that has a layout.
func readLayoutHeader(body []byte, lay layout) (size int, items uint64, err error) {
	headerBytes := 1 + uint64(lay.lengthBytes)
	if uint64(len(body)) < headerBytes {
		return 0, 0, ErrLength
	}
	count := decodeBigEndian(body[1:headerBytes])
	if lay.perItem == 0 {
		return checkBounds(body, headerBytes+lay.fixed+count, 0)
	}
	return checkBounds(body, headerBytes, lay.perItem*count)
}

// checkBounds returns size and items, or refuses a value that announces more than the
// body holds. The body must hold size bytes and at least one byte for each nested
// value.
func checkBounds(body []byte, size, items uint64) (int, uint64, error) {
	if size+items > uint64(len(body)) {
		return 0, 0, ErrLength
	}
	return int(size), items, nil
}

// decodeBigEndian decodes an unsigned integer of at most 8 bytes; no bytes give 0.
func decodeBigEndian(encoded []byte) uint64 {
	var wide [8]byte
	copy(wide[8-len(encoded):], encoded)
	return binary.BigEndian.Uint64(wide[:])
}
