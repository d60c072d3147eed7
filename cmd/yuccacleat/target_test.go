package main_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccastand"
)

// runs returns what a target really ran.
func runs(address string) []yuccastand.Run {
	GinkgoHelper()
	var list []yuccastand.Run
	fetch(Default, address, "/control/runs", &list)
	return list
}

// runsOf counts how often targets ran a request.
func (fl *fleet) runsOf(id yuccaid.RequestID) int {
	GinkgoHelper()
	count := 0
	for _, address := range append([]string{fl.plain}, fl.engines...) {
		for _, run := range runs(address) {
			if run.ID == string(id) {
				count++
			}
		}
	}
	return count
}

func fetch(g Gomega, address, path string, into any) {
	reply, err := http.Get("http://" + address + path)
	g.Expect(err).NotTo(HaveOccurred())
	defer reply.Body.Close()
	g.Expect(reply.StatusCode).To(Equal(http.StatusOK))
	g.Expect(json.NewDecoder(reply.Body).Decode(into)).To(Succeed())
}

func put(address, path string, body []byte) {
	GinkgoHelper()
	call, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	call.Header.Set("Content-Type", "application/json")
	reply, err := http.DefaultClient.Do(call)
	Expect(err).NotTo(HaveOccurred())
	defer reply.Body.Close()
	Expect(reply.StatusCode).To(BeNumerically("<", http.StatusBadRequest))
}

// faults sets a stand-in's switches: yuccastand.Faults or PlatformFaults.
func faults(address string, set any) {
	GinkgoHelper()
	raw, err := json.Marshal(set)
	Expect(err).NotTo(HaveOccurred())
	reply, err := http.Post("http://"+address+"/control/faults", "application/json", bytes.NewReader(raw))
	Expect(err).NotTo(HaveOccurred())
	defer reply.Body.Close()
	Expect(reply.StatusCode).To(BeNumerically("<", http.StatusBadRequest))
}

// draft is a request for a generated answer.
func draft(tier yuccaid.Tier, prompt string, tokens yuccaid.Tokens) yuccadaemon.Request {
	return yuccadaemon.Request{
		Pool: "draft", Operation: "generate", Tier: tier, DeadlineMillis: patience.Milliseconds(),
		Prompt: prompt, AnswerTokens: tokens,
	}
}

// desk is a call of the plain service.
func desk(operation yuccaid.Operation, body string) yuccadaemon.Request {
	return yuccadaemon.Request{
		Pool: "desk", Operation: operation, Tier: "urgent", DeadlineMillis: patience.Milliseconds(), Prompt: body,
	}
}

// words makes a prompt of about so many tokens.
func words(tokens int) string {
	return strings.Repeat("gas ", tokens)
}
