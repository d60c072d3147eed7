package yuccastand_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// limit is for events that come much sooner unless something is wrong.
const limit = 30 * time.Second

func TestYuccastand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccastand")
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// ask makes one exchange and returns the status, and the body or why there is none.
func ask(method, url string, body []byte) (status int, said []byte, err error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", req.URL.Query().Get("id"))
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	said, err = io.ReadAll(resp.Body)
	return resp.StatusCode, said, err
}

// read asks for an object that has to be there.
func read[T any](url string) T {
	GinkgoHelper()
	status, said, err := ask(http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
	var object T
	Expect(json.Unmarshal(said, &object)).To(Succeed())
	return object
}
