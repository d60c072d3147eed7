package yuccahop_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccahop"
)

const (
	// floodBytes is where a stand-in that writes for ever stops, so that a client without a
	// limit fails the test and doesn't use up the machine's memory.
	floodBytes = 8 << 20
	// floodWriteBuffer keeps what a stand-in wrote close to what the client has read.
	floodWriteBuffer = 64 << 10
	// floodWait bounds the wait of a test for a client that stops reading. Many requests with
	// the race detector take a second on a busy machine.
	floodWait = 10 * time.Second
	// manyRequests is how many requests a test of memory sends at once.
	manyRequests = 50
	// heapPerRequest is the memory that a request with an endless answer may take, with what
	// the collector hasn't freed yet.
	heapPerRequest = 300 << 10
)

// flood is what became of the bytes of a stand-in.
type flood struct {
	written int
	// closed is the error with which the stand-in saw its connection end.
	closed error
}

// flooding serves each connection with a beginning and then one text again and again, up to a
// limit, until the client closes the connection.
func flooding(beginning, again string, limit int) (*target, <-chan flood) {
	ended := make(chan flood, manyRequests)
	block := []byte(again)
	if len(again) < floodWriteBuffer {
		block = []byte(strings.Repeat(again, floodWriteBuffer/len(again)))
	}
	tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
		if id, _ := readRequest(in); id == "" {
			return
		}
		conn.(*net.TCPConn).SetWriteBuffer(floodWriteBuffer)
		written, err := io.WriteString(conn, beginning)
		for err == nil && written < limit {
			var wrote int
			wrote, err = conn.Write(block)
			written += wrote
		}
		if err == nil {
			_, err = in.ReadByte()
		}
		ended <- flood{written: written, closed: err}
	})
	return tgt, ended
}

// distinctFields returns the lines of fields that are as short as their names can be, all distinct.
func distinctFields(count int) string {
	var lines strings.Builder
	for at := range count {
		fmt.Fprintf(&lines, "%x:\r\n", at)
	}
	return lines.String()
}

var _ = Describe("bytes without end", func() {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		foreign = ok + "X-Id: z\r\n"
		owned   = ok + "X-Id: a\r\n"

		headTooLong     = "the head of an answer had more than 32768 bytes"
		fieldsTooMany   = "the head of an answer had more than 512 lines"
		preambleTooLong = "what came before the answer's own head had more than 262144 bytes"
	)
	var cl *yuccahop.Client

	BeforeEach(func() {
		limits := yuccahop.DefaultLimits()
		limits.Dial = floodWait
		cl = yuccahop.New(yuccahop.WithLimits(limits))
		DeferCleanup(cl.Close)
	})

	expectClosed := func(ended <-chan flood) {
		GinkgoHelper()
		var got flood
		Eventually(ended, floodWait).Should(Receive(&got))
		Expect(got.closed).To(HaveOccurred())
		Expect(got.written).To(BeNumerically("<", floodBytes), "%v", got.closed)
	}

	// Guards against the failure that a target's bytes before its answer are read until the process has no memory left.
	DescribeTable("end an exchange before the own head has come",
		func(beginning, again, text string) {
			tgt, ended := flooding(beginning, again, floodBytes)
			ctx, leave := context.WithTimeout(context.Background(), floodWait)
			defer leave()
			_, err := call(ctx, cl, tgt, "a", "x")
			Expect(lost(err)).To(BeTrue(), "%v", err)
			Expect(err).To(MatchError(ContainSubstring(text)))
			Expect(ctx.Err()).NotTo(HaveOccurred())
			expectClosed(ended)
		},
		Entry("a status line", "HTTP/1.1 200 ", "O", headTooLong),
		Entry("one field", owned+"X-Long: ", "a", headTooLong),
		Entry("a field of many lines", owned+"X-Long: a\r\n", " and so on, in lines that a head may well have, each of them long enough\r\n", headTooLong),
		Entry("a field of short lines", owned+"X-Long: a\r\n", " a\r\n", fieldsTooMany),
		Entry("many fields", owned, "X-Field: a value of some length, so that the bytes count and not the lines\r\n", headTooLong),
		Entry("many fields with one name", owned, "a:\r\n", fieldsTooMany),
		Entry("many fields with many names", owned, distinctFields(16<<10), fieldsTooMany),
		Entry("many fields after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n"+owned, "a:\r\n", fieldsTooMany),
		Entry("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", preambleTooLong),
		Entry("interim answers with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n", preambleTooLong),
		Entry("the length of an answer to another request", foreign+"Content-Length: 1000000000\r\n\r\n", "x", preambleTooLong),
		Entry("the chunks of an answer to another request", foreign+chunked, "4\r\nfour\r\n", preambleTooLong),
		Entry("the chunk header of an answer to another request", foreign+chunked, "1", "header line too long"),
		Entry("the trailer of an answer to another request", foreign+chunked+"0\r\n", "X-Trailer: a\r\n", "long trailer"),
		Entry("an answer to another request without length", foreign+"\r\n", "x", "answers to other requests"),
		Entry("empty lines", "", "\r\n", "malformed"),
	)

	// Guards against the failure that a body's framing is read until the process has no memory left.
	DescribeTable("end the reading of a body in which they can't be the body's own",
		func(beginning, again, text string) {
			tgt, ended := flooding(owned+chunked+beginning, again, floodBytes)
			ctx, leave := context.WithTimeout(context.Background(), floodWait)
			defer leave()
			ans, err := cl.Send(ctx, tgt.address(), outgoing("a", "x"), own("a"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, ans)
			Expect(err).To(MatchError(ContainSubstring(text)))
			Expect(ans.Whole()).To(BeFalse())
			Expect(ctx.Err()).NotTo(HaveOccurred())
			ans.Close()
			expectClosed(ended)
		},
		Entry("a chunk header", "4\r\nfour\r\n", "1", "header line too long"),
		Entry("a chunk's extension", "4\r\nfour\r\n4;", "x", "header line too long"),
		Entry("chunks of long extensions", "", "1;"+strings.Repeat("x", 2<<10)+"\r\nx\r\n", "too much non-data"),
		Entry("a trailer of one field", "4\r\nfour\r\n0\r\nX-Trailer: ", "a", "long trailer"),
		Entry("a trailer of many fields", "4\r\nfour\r\n0\r\n", "X-Trailer: a\r\n", "long trailer"),
	)

	// Guards against the failure that many targets which send bytes without end together use up the process's memory.
	DescribeTable("take little memory, with many requests at once",
		func(beginning, again string) {
			tgt, ended := flooding(beginning, again, floodBytes/4)
			ctx, leave := context.WithTimeout(context.Background(), floodWait)
			defer leave()
			stop := heapPeak()
			done := make(chan error, manyRequests)
			for range manyRequests {
				go func() {
					_, err := call(ctx, cl, tgt, "a", "x")
					done <- err
				}()
			}
			for range manyRequests {
				err := <-done
				Expect(lost(err)).To(BeTrue(), "%v", err)
			}
			grown := stop()
			Expect(ctx.Err()).NotTo(HaveOccurred())
			AddReportEntry("memory", fmt.Sprintf("%d KB a request", grown/manyRequests>>10))
			Expect(grown).To(BeNumerically("<", manyRequests*heapPerRequest))
			for range manyRequests {
				expectClosed(ended)
			}
		},
		Entry("one field", owned+"X-Long: ", "a"),
		Entry("many fields with many names", owned, distinctFields(16<<10)),
		Entry("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("interim answers with as many fields as a head may have", "", "HTTP/1.1 103 Early Hints\r\n"+distinctFields(511)+"\r\n"),
		Entry("an answer to another request", foreign+chunked, "4\r\nfour\r\n"),
	)

	// Guards against the failure that a line of tens of thousands of bytes that is no head is quoted whole in a log line.
	DescribeTable("aren't quoted whole in the error's text",
		func(beginning, end string) {
			long := strings.Repeat("\x01", 30<<10)
			tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
				readRequest(in)
				fmt.Fprint(conn, beginning, long, end)
				in.ReadByte()
			})
			_, err := call(context.Background(), cl, tgt, "a", "x")
			Expect(lost(err)).To(BeTrue(), "%v", err)
			Expect(len(err.Error())).To(BeNumerically("<", 1024))
			Expect(err).To(MatchError(And(ContainSubstring("malformed"), ContainSubstring("only if it is idempotent"))))
		},
		Entry("a status line", "", "\r\n\r\n"),
		Entry("a field", owned, "\r\n\r\n"),
	)

	// Guards against the failure that the limit on what precedes an answer cuts the answer's body.
	It("aren't taken for such when a long body follows a long head", func() {
		const long = 1 << 20
		long32 := owned + "X-Long: " + strings.Repeat("a", 32<<10-len(owned)-len("X-Long: \r\nContent-Length: 1048576\r\n\r\n")) + "\r\nContent-Length: 1048576\r\n\r\n"
		Expect(long32).To(HaveLen(32 << 10))
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			for id, _ := readRequest(in); id != ""; id, _ = readRequest(in) {
				fmt.Fprint(conn, long32, strings.Repeat("\n", long))
			}
		})
		for range 3 {
			got, err := call(context.Background(), cl, tgt, "a", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(HaveLen(long))
		}
		Expect(tgt.conns.Load()).To(Equal(int64(1)))
	})

	// Guards against the failure that a sound answer is given up for what a target may well send before it.
	It("aren't taken for such when heads and lines are as many as they may be", func() {
		interim := "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("a:\r\n", 511) + "\r\n"
		late := answer("z", strings.Repeat("\n", 100<<10))
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			for id, _ := readRequest(in); id != ""; id, _ = readRequest(in) {
				fmt.Fprint(conn, strings.Repeat(interim, 20), late, interim, late, answer(id, "own"))
			}
		})
		got, err := call(context.Background(), cl, tgt, "a", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("own"))
	})

	It("are told with a typed error", func() {
		tgt, _ := flooding(owned, "X-Field: a value of some length, so that the bytes count and not the lines\r\n", floodBytes)
		ctx, leave := context.WithTimeout(context.Background(), floodWait)
		defer leave()
		_, err := call(ctx, cl, tgt, "a", "x")
		var long *yuccahop.TooLongError
		Expect(errors.As(err, &long)).To(BeTrue(), "%v", err)
		Expect(long).To(Equal(&yuccahop.TooLongError{What: "the head of an answer", Limit: 32 << 10, Unit: "bytes"}))
	})
})

// heapPeak starts to watch the heap, and returns a function that tells by how much it grew at most.
func heapPeak() func() uint64 {
	runtime.GC()
	var start runtime.MemStats
	runtime.ReadMemStats(&start)
	quit, done := make(chan struct{}), make(chan uint64)
	go func() {
		peak := start.HeapAlloc
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc)
			select {
			case <-quit:
				done <- peak - start.HeapAlloc
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(quit)
		return <-done
	}
}
