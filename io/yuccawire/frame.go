package yuccawire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccapack"
)

var (
	errNoPair = errors.New("it is not an array of kind and body")
	errNoKind = errors.New("its kind is not a small number")
)

const (
	headerBytes = 4
	// pairCode starts a msgpack array of two: the kind and the body.
	pairCode = 0x92
	// kindCode starts a kind that is too large to stand for itself in one byte.
	kindCode = 0xcc
	// smallKind is the last kind that stands for itself in one byte.
	smallKind = 0x7f
	// MaxFrame bounds a frame: the largest value the platform publishes is a
	// megabyte, and a peer passes it on whole, with room for its key and number.
	// Without the bound a garbled length would have the reader wait for gigabytes.
	MaxFrame = 1<<20 + 64<<10
	// eagerBytes is allocated on the word of a length alone. A longer frame grows
	// with the bytes that really arrive, so that many half-sent ones cost little.
	eagerBytes = 64 << 10
)

// Frame is one message as it was read; Body is still msgpack.
type Frame struct {
	Kind Kind
	Body []byte
}

// Encode returns the whole frame of a message, its length first.
func Encode(kind Kind, body any) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, headerBytes))
	buf.WriteByte(pairCode)
	if kind > smallKind {
		buf.WriteByte(kindCode)
	}
	buf.WriteByte(byte(kind))
	if err := encodeBody(&buf, kind, body); err != nil {
		return nil, &GarbledError{Kind: kind, Cause: err}
	}
	raw := buf.Bytes()
	length := len(raw) - headerBytes
	if length > MaxFrame {
		return nil, &OversizedError{Length: length, Limit: MaxFrame}
	}
	binary.BigEndian.PutUint32(raw, uint32(length))
	return raw, nil
}

// encodeBody keeps integers short and maps in order, so that equal messages have
// equal bytes. Encoders are reused: a daemon encodes thousands of messages a second.
//
// The messages of placing go several times for each request, and their keys would be
// most of their bytes, so they are arrays in the order of their fields.
func encodeBody(buf *bytes.Buffer, kind Kind, body any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseCompactInts(true)
	enc.SetSortMapKeys(true)
	enc.UseArrayEncodedStructs(kind.frequent())
	return enc.Encode(body)
}

// Decode reads the frame's body into a message. Fields that the message doesn't know
// are passed over, so that a newer peer may add some.
func (frame Frame) Decode(into any) error {
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	in := bytes.NewReader(frame.Body)
	dec.Reset(in)
	if err := dec.Decode(into); err != nil {
		return &GarbledError{Kind: frame.Kind, Cause: err}
	}
	return nil
}

// Read returns the next frame, and io.EOF if the connection ended between two.
func Read(r io.Reader) (Frame, error) {
	return ReadLimit(r, MaxFrame)
}

// ReadLimit is Read with a lower limit on the frame's length.
func ReadLimit(r io.Reader, limit int) (Frame, error) {
	var header [headerBytes]byte
	got, err := io.ReadFull(r, header[:])
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return Frame{}, &TruncatedError{Want: headerBytes, Got: got}
	}
	if err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if uint64(length) > uint64(limit) {
		return Frame{}, &OversizedError{Length: int(min(length, math.MaxInt32)), Limit: limit}
	}
	raw, err := readBody(r, int(length))
	if err != nil {
		return Frame{}, err
	}
	return parse(raw)
}

// Write sends one message as a frame.
func Write(w io.Writer, kind Kind, body any) error {
	raw, err := Encode(kind, body)
	if err != nil {
		return err
	}
	_, err = w.Write(raw)
	return err
}

func readBody(r io.Reader, length int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(min(length, eagerBytes) + bytes.MinRead)
	got, err := io.CopyN(&buf, r, int64(length))
	if errors.Is(err, io.EOF) {
		return nil, &TruncatedError{Want: length, Got: int(got)}
	}
	if err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func parse(raw []byte) (Frame, error) {
	if len(raw) == 0 || raw[0] != pairCode {
		return Frame{}, &GarbledError{Cause: errNoPair}
	}
	kind, body, err := parseKind(raw[1:])
	if err != nil {
		return Frame{}, &GarbledError{Cause: err}
	}
	if err := yuccapack.Check(body); err != nil {
		return Frame{}, &GarbledError{Kind: kind, Cause: err}
	}
	return Frame{Kind: kind, Body: body}, nil
}

func parseKind(raw []byte) (Kind, []byte, error) {
	if len(raw) >= 1 && raw[0] <= smallKind {
		return Kind(raw[0]), raw[1:], nil
	}
	if len(raw) >= 2 && raw[0] == kindCode && raw[1] > smallKind {
		return Kind(raw[1]), raw[2:], nil
	}
	return 0, nil, errNoKind
}
