package yuccatarget

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
)

// errOversized says that a peer sent more than the limit.
var errOversized = errors.New("target sent more than the limit: check the target")

// errGarbled says that a line is not one of an answer.
var errGarbled = errors.New("target sent a line that is no JSON object: check the target")

// Decoder reads the lines of an answer; it holds one bounded line at a time.
type Decoder struct {
	in     *bufio.Reader
	long   []byte
	parsed Line
	limit  int
}

// NewDecoder returns a decoder of lines up to a limit of bytes.
func NewDecoder(in io.Reader, limit int) *Decoder {
	return &Decoder{in: bufio.NewReader(in), limit: limit}
}

// Next reads one line. It returns io.EOF between lines and io.ErrUnexpectedEOF inside
// one, so that a line that was cut short never passes for a whole one.
func (dec *Decoder) Next() (Line, error) {
	raw, err := dec.line()
	if err != nil {
		return Line{}, err
	}
	dec.parsed = Line{}
	if json.Unmarshal(raw, &dec.parsed) != nil {
		return Line{}, errGarbled
	}
	return dec.parsed, nil
}

// line returns the bytes of one line, which are valid until the next call.
func (dec *Decoder) line() ([]byte, error) {
	raw, err := dec.in.ReadSlice('\n')
	if err == nil {
		return dec.whole(raw)
	}
	dec.long = append(dec.long[:0], raw...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(dec.long) > dec.limit {
			return nil, errOversized
		}
		raw, err = dec.in.ReadSlice('\n')
		dec.long = append(dec.long, raw...)
	}
	if errors.Is(err, io.EOF) && len(dec.long) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return dec.whole(dec.long)
}

func (dec *Decoder) whole(raw []byte) ([]byte, error) {
	if len(raw) > dec.limit {
		return nil, errOversized
	}
	return raw, nil
}
