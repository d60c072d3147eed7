package yuccatarget_test

import (
	"bytes"
	"context"
	"flag"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccatarget"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// recorder is a connection that keeps what is written.
type recorder struct {
	scripted
	sent *bytes.Buffer
}

func (conn recorder) Write(p []byte) (int, error) { return conn.sent.Write(p) }

var _ = It("sends requests as the golden file has them", func() {
	var sent bytes.Buffer
	cl := newClient(yuccatarget.WithAttempts(1), yuccatarget.WithDial(func(context.Context, string, string) (net.Conn, error) {
		answer := ""
		if sent.Len() == 0 {
			answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + `{"id":"a","tokens":1,"data":"x "}` + "\n"
		}
		return recorder{scripted: scripted{answer: bytes.NewReader([]byte(answer))}, sent: &sent}, nil
	}))
	const address = "127.0.0.1:7000"
	call := generation("a", address, 5)
	_, err := cl.Run(testContext(), call, (&answerText{}).add)
	Expect(err).To(beLost())
	_, err = cl.Run(testContext(), ticket("t", address), (&answerText{}).add)
	Expect(err).To(beLost())
	Expect(cl.Cancel(testContext(), address, "a")).NotTo(Succeed())
	_, err = cl.Order(testContext(), address, yuccatarget.Order{
		Kind: yuccatarget.OrderLoad, Model: "base", Version: "2", Fence: 9, Expires: limit,
	})
	Expect(err).To(HaveOccurred())

	text := regexp.MustCompile(`"expiresMillis":\d+`).ReplaceAllString(sent.String(), `"expiresMillis":29999`)
	text = regexp.MustCompile(`\}(GET|POST|DELETE) `).ReplaceAllString(text, "}\n\n$1 ")
	text = strings.ReplaceAll(text, "\r\n", "\n")
	path := filepath.Join("testdata", "requests.golden")
	if *update {
		Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(text), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(want)))
})
