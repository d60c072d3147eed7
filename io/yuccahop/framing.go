package yuccahop

import "net/http"

// Framing is how the end of an answer's body is stated.
type Framing int

const (
	// FramedByLength means that the head states the body's length, or that there is no body.
	FramedByLength Framing = iota
	// FramedByChunks means that the body comes in chunks, the last of which is marked.
	FramedByChunks
	// FramedByClose means that nothing states the end: the body ends with its connection, whether
	// the target had finished it or not.
	FramedByClose
)

// String returns the name that log lines and metrics use.
func (frm Framing) String() string {
	switch frm {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	}
	return "close"
}

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByClose
}
