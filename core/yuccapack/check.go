package yuccapack

import (
	"encoding/binary"
	"errors"
)

// maxDepth bounds how deep arrays and maps stand in one another. The messages need
// four; a value of nothing but opened arrays would have a recursive decoder take
// hundreds of megabytes of stack.
const maxDepth = 32

var (
	// ErrLength says that a value announces more than follows it.
	ErrLength = errors.New("a length exceeds what follows: send the value again")
	// ErrTrailing says that bytes follow a value.
	ErrTrailing = errors.New("bytes follow the value: send one value only")
	// ErrTooDeep says that arrays and maps stand too deep in one another.
	ErrTooDeep = errors.New("the value is nested too deep: send a flatter one")
	// ErrInvalidCode says that a byte is none that msgpack uses.
	ErrInvalidCode = errors.New("a byte is no msgpack: send the value again")
)

// Check walks over one msgpack value without recursion and without allocating: it refuses what is cut short, has bytes left over or is nested too deep before a
// decoder allocates anything on the word of a length inside.
func Check(body []byte) error {
	var open [maxDepth]uint64
	depth := 0
	open[0] = 1
	for {
		for open[depth] == 0 {
			if depth == 0 {
				return checkEnd(body)
			}
			depth--
		}
		open[depth]--
		size, items, err := head(body)
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
		open[depth] = items
	}
}

func checkEnd(rest []byte) error {
	if len(rest) > 0 {
		return ErrTrailing
	}
	return nil
}

// shape tells how a value's bytes go on behind its first one.
type shape struct {
	lengthBytes int
	fixed       uint64
	perItem     uint64
}

// shapes holds the codes from 0xc0 to 0xdf. A value has lengthBytes of a count and
// fixed further bytes; perItem says how many values each counted item is, and 0
// that the count is of bytes.
var shapes = [...]shape{
	{},
	{},
	{},
	{}, // nil, unused, false, true
	{1, 0, 0},
	{2, 0, 0},
	{4, 0, 0}, // binary
	{1, 1, 0},
	{2, 1, 0},
	{4, 1, 0}, // extension
	{0, 4, 0},
	{0, 8, 0}, // floats
	{0, 1, 0},
	{0, 2, 0},
	{0, 4, 0},
	{0, 8, 0}, // unsigned
	{0, 1, 0},
	{0, 2, 0},
	{0, 4, 0},
	{0, 8, 0}, // signed
	{0, 2, 0},
	{0, 3, 0},
	{0, 5, 0},
	{0, 9, 0},
	{0, 17, 0}, // fixed extension
	{1, 0, 0},
	{2, 0, 0},
	{4, 0, 0}, // string
	{2, 0, 1},
	{4, 0, 1}, // array
	{2, 0, 2},
	{4, 0, 2}, // map
}

const (
	firstShape  = 0xc0
	unusedCode  = 0xc1
	lastShape   = 0xdf
	fixMap      = 0x80
	fixArray    = 0x90
	fixString   = 0xa0
	itemsMask   = 0x0f
	lettersMask = 0x1f
)

// head returns how many bytes the value's own part takes and how many values follow
// inside it.
func head(body []byte) (size int, items uint64, err error) {
	if len(body) == 0 {
		return 0, 0, ErrLength
	}
	code := body[0]
	switch {
	case code < fixMap, code > lastShape:
		return 1, 0, nil
	case code < fixArray:
		return 1, 2 * uint64(code&itemsMask), nil
	case code < fixString:
		return 1, uint64(code & itemsMask), nil
	case code < firstShape:
		return within(body, 1+uint64(code&lettersMask), 0)
	case code == unusedCode:
		return 0, 0, ErrInvalidCode
	}
	return shaped(body, shapes[code-firstShape])
}

func shaped(body []byte, form shape) (size int, items uint64, err error) {
	own := 1 + uint64(form.lengthBytes)
	if uint64(len(body)) < own {
		return 0, 0, ErrLength
	}
	count := number(body[1:own])
	if form.perItem == 0 {
		return within(body, own+form.fixed+count, 0)
	}
	return within(body, own, form.perItem*count)
}

// within refuses a value that claims more than there is; each value inside takes a
// byte at least.
func within(body []byte, size, items uint64) (int, uint64, error) {
	if size+items > uint64(len(body)) {
		return 0, 0, ErrLength
	}
	return int(size), items, nil
}

func number(raw []byte) uint64 {
	var wide [8]byte
	copy(wide[8-len(raw):], raw)
	return binary.BigEndian.Uint64(wide[:])
}
