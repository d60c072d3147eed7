package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
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
	RunSpecs(t, "yuccastand command")
}

var _ = DescribeTable("the command tells where it listens and ends when told to",
	func(path string, args ...string) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		out, in := io.Pipe()
		cmd := newCommand()
		cmd.SetOut(in)
		cmd.SetArgs(args)
		ended := make(chan error, 1)
		go func() { ended <- cmd.ExecuteContext(ctx) }()
		text, err := bufio.NewReader(out).ReadBytes('\n')
		Expect(err).NotTo(HaveOccurred())
		var line started
		Expect(json.Unmarshal(text, &line)).To(Succeed())
		resp, err := http.Get("http://" + line.Listening + path)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		stop()
		Eventually(ended).WithTimeout(limit).Should(Receive(BeNil()))
	},
	Entry("platform", "/v1/vms", "platform", "--listen", "127.0.0.1:0"),
	Entry("engine", "/v1/load", "engine", "--listen", "127.0.0.1:0", "--prefill", "4000", "--decode", "50", "--slots", "8", "--cache", "200000", "--checks-fence"),
	Entry("plain", "/control/runs", "plain", "--listen", "127.0.0.1:0"),
)
