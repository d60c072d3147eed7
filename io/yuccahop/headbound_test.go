package yuccahop

import (
	"bufio"
	"net/http"
	"testing"
)

// endlessFields is a source of a head whose fields don't end. It returns size bytes at a time.
type endlessFields struct{ at, size int }

func (s *endlessFields) Read(into []byte) (int, error) {
	const head, text = "HTTP/1.1 200 OK\r\n", "A: b\r\n"
	n := min(len(into), s.size)
	for i := range n {
		if s.at < len(head) {
			into[i] = head[s.at]
		} else {
			into[i] = text[(s.at-len(head))%len(text)]
		}
		s.at++
	}
	return n, nil
}

// Guards against the failure that a head without end is taken for a whole one, because bytes beyond its bound were dropped and reading went on.
func TestHeadWithoutEndIsNeverWhole(t *testing.T) {
	for size := 1; size <= 4096; size++ {
		al := &allowance{from: &endlessFields{size: size}}
		in := bufio.NewReaderSize(al, 4096)
		al.startExchange()
		_ = al.startHead(nil)
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			t.Errorf("reads of %d bytes: a head of %d fields without an empty line was taken for whole", size, len(resp.Header["A"]))
		}
	}
}
