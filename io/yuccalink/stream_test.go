package yuccalink

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against the failure that a configuration on a slow link breaks the connection that carries it.
func TestLongMessageOutlastsTheWriteLimitOnASlowLink(t *testing.T) {
	g := NewWithT(t)
	const (
		limit      = time.Second
		pieces     = 40
		pieceBytes = 16 << 10
		pieceTime  = 50 * time.Millisecond
	)
	near, far := net.Pipe()
	defer far.Close()
	st := &stream{Conn: near, silence: limit, write: limit}
	taken := make(chan int, 1)
	go func() {
		total, piece := 0, make([]byte, pieceBytes)
		for total < pieces*pieceBytes {
			count, err := io.ReadFull(far, piece)
			total += count
			if err != nil {
				break
			}
			time.Sleep(pieceTime)
		}
		taken <- total
	}()
	count, err := st.Write(make([]byte, pieces*pieceBytes))
	near.Close()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(count).To(Equal(pieces * pieceBytes))
	g.Expect(<-taken).To(Equal(pieces * pieceBytes))
}

// Guards against the failure that a peer which takes nothing holds up its connection's writer for good.
func TestWriteEndsWhenThePeerTakesNothing(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	st := &stream{Conn: near, silence: time.Second, write: 50 * time.Millisecond}
	count, err := st.Write(make([]byte, 64<<10))
	g.Expect(count).To(BeZero())
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
}
