package yuccahop

import "io"

const (
	// headBytes bounds one head of an answer, from its status line to its empty line.
	headBytes = 32 << 10
	// headLines bounds the lines of a head: parsed, short fields take over ten times their bytes.
	headLines = 512
	// preambleBytes bounds all that is read on one exchange up to the end of its own head:
	// interim answers, and answers to other requests with their bodies.
	preambleBytes = 256 << 10
)

// allowance reads from a connection and bounds what comes before an answer's body.
//
// It counts below the buffer from which heads are parsed, so that a parser which gathers a
// line or a head gets no more than it may gather.
type allowance struct {
	from io.Reader
	// bounded is set from the start of an exchange until its own head has come.
	bounded bool
	// left is how many bytes the exchange may still read while it is bounded.
	left int
	// inHead is set while a head is read, up to its empty line.
	inHead bool
	// head and lines are the bytes and the lines of the head so far, and line the bytes of
	// its last line.
	head, lines, line int
	// last is the byte of the head that came last.
	last byte
	// tooLong is set once a bound was exceeded. A parser that passes over the error must not read what follows the
	// bytes that were dropped.
	tooLong error
}

// startExchange bounds what is read until endPreamble.
func (al *allowance) startExchange() {
	al.bounded = true
	al.left = preambleBytes
}

// startHead counts what comes next as a head, beginning with what is in the buffer already.
func (al *allowance) startHead(buffered []byte) error {
	al.inHead = true
	al.head, al.lines, al.line = 0, 0, 0
	return al.count(buffered)
}

// endHead counts what comes next as a body of an answer to another request.
func (al *allowance) endHead() { al.inHead = false }

// endPreamble lets the body of the exchange's own answer be read without a bound.
func (al *allowance) endPreamble() {
	al.bounded = false
	al.inHead = false
}

// Read reads from the connection, and fails with a *TooLongError beyond a bound.
func (al *allowance) Read(into []byte) (int, error) {
	if !al.bounded {
		return al.from.Read(into)
	}
	if al.tooLong != nil {
		return 0, al.tooLong
	}
	if al.left == 0 {
		return 0, &TooLongError{What: "what came before the answer's own head", Limit: preambleBytes, Unit: "bytes"}
	}
	got, err := al.from.Read(into[:min(len(into), al.left)])
	al.left -= got
	if tooLong := al.count(into[:got]); tooLong != nil {
		al.tooLong = tooLong
		return 0, tooLong
	}
	return got, err
}

// count adds bytes to the head that is being read, if they belong to it.
func (al *allowance) count(read []byte) error {
	for _, b := range read {
		if !al.inHead {
			return nil
		}
		al.head++
		if al.head > headBytes {
			return &TooLongError{What: "the head of an answer", Limit: headBytes, Unit: "bytes"}
		}
		if err := al.countLine(b); err != nil {
			return err
		}
	}
	return nil
}

// countLine adds a byte of a head to its lines. The empty line ends the head.
func (al *allowance) countLine(b byte) error {
	empty := al.line == 0 || al.line == 1 && al.last == '\r'
	al.last = b
	if b != '\n' {
		al.line++
		return nil
	}
	al.line = 0
	if empty {
		al.inHead = false
		return nil
	}
	al.lines++
	if al.lines > headLines {
		return &TooLongError{What: "the head of an answer", Limit: headLines, Unit: "lines"}
	}
	return nil
}
