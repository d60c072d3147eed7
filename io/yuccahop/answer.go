package yuccahop

import (
	"io"
	"net/http"
	"time"
)

// Answer is a target's answer: its head, and its body as it comes.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if the head doesn't say.
	Length int64

	conn   *conn
	resp   *http.Response
	upload *upload
	stop   func() bool
	whole  bool
	closed bool
}

func newAnswer(cn *conn, resp *http.Response, up *upload, stop func() bool) *Answer {
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		conn: cn, resp: resp, upload: up, stop: stop,
	}
}

// Read returns the next bytes of the body, and io.EOF after its last one only. An answer
// that is cut short ends with another error.
func (ans *Answer) Read(into []byte) (int, error) {
	got, err := ans.resp.Body.Read(into)
	if err != io.EOF || ans.whole {
		return got, err
	}
	if ans.Framing() == FramedByClose && !ans.upload.whole() && !ans.conn.endedByTarget() {
		return got, errUploadFailed
	}
	ans.whole = true
	return got, io.EOF
}

// Whole reports whether the body was read to its end.
func (ans *Answer) Whole() bool { return ans.whole }

// Framing returns how the end of the body is stated.
func (ans *Answer) Framing() Framing { return framingOf(ans.resp) }

// Close ends the exchange. The connection is kept for another request only if this one's
// body and answer have gone over it whole. Where the target answered before it had read
// all, it would take the next request for the rest of this one.
func (ans *Answer) Close() {
	if ans.closed {
		return
	}
	ans.closed = true
	if ans.stop() && ans.whole && ans.upload.whole() {
		ans.conn.keep(ans.resp, time.Now())
		return
	}
	ans.conn.raw.Close()
}
