package yuccatarget

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"yuccacleat/io/yuccahead"
)

// writeChunk bounds what one write deadline covers.
const writeChunk = 64 << 10

// wire carries one exchange over a connection of its own.
//
// An http.Transport sends a request again by itself when a kept connection breaks
// before the answer, if it takes the request for repeatable. A ticket would be filed
// twice, and the run log of the target would be the only place to see it. A wire writes
// each request once and has no way to write it again.
type wire struct {
	conn     net.Conn
	in       *bufio.Reader
	limit    time.Duration
	latest   func() time.Time
	readable int64
	sent     bool
	release  func() bool
}

// connect dials a fresh connection, which ends with the context. No read or write on it
// may take longer than the limit, nor end after latest: a peer that sends a byte now and
// then would keep a caller waiting for good if only single reads were bounded.
func (cl *Client) connect(ctx context.Context, address string, limit time.Duration, latest func() time.Time) (*wire, error) {
	conn, err := cl.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	w := &wire{conn: conn, limit: limit, latest: latest, readable: headLimit}
	w.in = bufio.NewReader(readFunc(w.read))
	w.release = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return w, nil
}

type readFunc func([]byte) (int, error)

func (read readFunc) Read(p []byte) (int, error) { return read(p) }

// read fails once the peer has been silent for the limit, or has sent more than allowed.
func (w *wire) read(p []byte) (int, error) {
	if w.readable <= 0 {
		return 0, errOversized
	}
	if err := w.conn.SetReadDeadline(w.deadline()); err != nil {
		return 0, err
	}
	n, err := w.conn.Read(p[:min(int64(len(p)), w.readable)])
	w.readable -= int64(n)
	return n, err
}

// deadline returns when the next read or write has to be through.
func (w *wire) deadline() time.Time {
	soon, latest := time.Now().Add(w.limit), w.latest()
	if latest.Before(soon) {
		return latest
	}
	return soon
}

// Write fails once the peer has taken nothing for the limit.
func (w *wire) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		if err := w.conn.SetWriteDeadline(w.deadline()); err != nil {
			return written, err
		}
		w.sent = true
		n, err := w.conn.Write(p[:min(len(p), writeChunk)])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

func (w *wire) close() {
	w.release()
	_ = w.conn.Close()
}

// exchange sends a request and reads the head of the answer. If the request could not be
// sent whole, an answer may still be there: a target refuses before it has read all.
func (w *wire) exchange(req *http.Request) (*http.Response, error) {
	req.Close = true
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	sendErr := req.Write(w)
	resp, err := w.head(req)
	if sendErr != nil && (err != nil || !statesEnd(resp)) {
		return nil, sendErr
	}
	return resp, err
}

// statesEnd reports whether an answer says where its body ends. The system tells of a reset once; if that was while the
// request was sent, the end of a body that ends with its connection shows nothing.
func statesEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// head reads the head of the answer, past interim ones.
func (w *wire) head(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(w.in, req)
		if err != nil {
			return nil, err
		}
		if err := yuccahead.CheckHTTP1(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			w.readable = math.MaxInt64
			return resp, nil
		}
	}
}

// newRequest builds a request for a target.
func newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "address %q or path %q is not usable: correct the configuration", address, path)
	}
	return req, nil
}

// bounded reads at most limit bytes of a body.
func bounded(body io.Reader, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > limit {
		return nil, errOversized
	}
	return raw, nil
}
