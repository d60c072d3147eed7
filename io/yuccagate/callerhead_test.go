package yuccagate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
)

// headLimit is the limit on heads in the configuration of these specs.
const headLimit = 16 << 10

var _ = Describe("a gateway whose callers send heads outside the limits", func() {
	var gt *gate

	BeforeEach(func() {
		gt = newGateWithLimits(8<<20, 0)
		limited := longConfig()
		limited.Limits.Header, limited.Limits.HeaderTimeout = headLimit, 300*time.Millisecond
		gt.configure(1, limited, 1, newEngine("a", status(http.StatusOK)))
	})

	connect := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", gt.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		return conn, bufio.NewReader(conn)
	}

	// Guards against the failure that a head without end is read up to a limit that isn't the configuration's.
	It("refuses a head without end once it is over the limit, and closes the connection", func() {
		conn, in := connect()
		_, _ = io.WriteString(conn, "POST /note/ HTTP/1.1\r\nHost: desk.example\r\nX: "+strings.Repeat("x", headLimit+(8<<10)))
		resp, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("send a shorter head"))
		_, err = in.ReadByte()
		Expect(err).To(HaveOccurred())
	})

	// Guards against the failure that a limit on heads refuses heads within it.
	It("serves a head just within the limit", func() {
		conn, in := connect()
		begin, end := "GET /note/ HTTP/1.1\r\nHost: desk.example\r\n"+"X-Id: a\r\nX-Key: k1\r\n", "\r\n\r\n"
		fmt.Fprint(conn, begin+"X: "+strings.Repeat("x", headLimit-len(begin)-len(end)-len("X: "))+end)
		resp, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against the failure that the time for a head is a constant, not the configuration's.
	It("closes a connection whose head takes longer than the configuration allows", func() {
		conn, in := connect()
		fmt.Fprint(conn, "GET /note/ HTTP/1.1\r\n")
		start := time.Now()
		_, err := in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	})

	// Guards against the failure that a few bytes of a next request keep a connection open for good.
	DescribeTable("closes a connection on which the next request has begun and doesn't go on",
		func(beginning string) {
			conn, in := connect()
			fmt.Fprint(conn, requestHead("/note/", "a", 0))
			resp, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
			fmt.Fprint(conn, beginning)
			start := time.Now()
			_, err = io.ReadAll(in)
			Expect(os.IsTimeout(err)).To(BeFalse())
			Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		},
		Entry("one byte", "P"),
		Entry("an empty line", "\r\n"),
		Entry("four bytes", "POST"),
	)

	// Guards against the failure that a request whose head has many fields counts like any other while it is served.
	It("counts the fields of a request that is served", func() {
		gt.configure(2, longConfig(), 2, newEngine("b", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		var fields strings.Builder
		for number := range 1000 {
			fmt.Fprintf(&fields, "x%d:\r\n", number)
		}
		conn, _ := connect()
		fmt.Fprintf(conn, "GET /note/ HTTP/1.1\r\nHost: desk.example\r\nX-Id: a\r\nX-Key: k1\r\n%s\r\n", fields.String())
		Eventually(func() int64 { return gt.Status().OpenRequests }).Should(Equal(int64(1)))
		Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).Should(BeNumerically(">", 256<<10))
		conn.Close()
		Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).Should(BeZero())
	})

	// Guards against the failure that the memory of heads that were read is never free again.
	It("has no memory reserved once heads of many fields have been served", func() {
		var fields strings.Builder
		for number := range 1000 {
			fmt.Fprintf(&fields, "x%d:\r\n", number)
		}
		for range 3 {
			conn, in := connect()
			for range 2 {
				fmt.Fprintf(conn, "GET /note/ HTTP/1.1\r\nHost: desk.example\r\nX-Id: a\r\nX-Key: k1\r\n%s\r\n", fields.String())
				resp, err := http.ReadResponse(in, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(http.StatusOK))
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			conn.Close()
		}
		Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).Should(BeZero())
	})

	// Guards against the failure that a refusal waits for a body that never comes, and its connection is held for good.
	DescribeTable("refuses a request whose body never comes",
		func(head string, status int) {
			conn, in := connect()
			fmt.Fprint(conn, head)
			resp, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			_, err = io.ReadAll(in)
			Expect(os.IsTimeout(err)).To(BeFalse())
		},
		Entry("no route", "POST /nowhere HTTP/1.1\r\nHost: desk.example\r\nX-Id: a\r\nContent-Length: 10\r\n\r\n", http.StatusNotFound),
		Entry("an unknown key", "POST /note/ HTTP/1.1\r\nHost: desk.example\r\nX-Id: a\r\nX-Key: none\r\nTransfer-Encoding: chunked\r\n\r\n", http.StatusUnauthorized),
		Entry("about the server", "OPTIONS * HTTP/1.1\r\nHost: desk.example\r\nX-Id: a\r\nX-Key: k1\r\nContent-Length: 10\r\n\r\n", http.StatusNotFound),
	)
})
