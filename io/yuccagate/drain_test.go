package yuccagate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a gateway that is told to end", func() {
	It("finishes open requests, closes idle connections and refuses late requests", func() {
		release := make(chan struct{})
		eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Id") == "slow" {
				<-release
			}
			fmt.Fprint(w, "done")
		})
		gt := newGate("entry-1")
		gt.configure(1, config(), 4, eng)
		idle, err := net.Dial("tcp", gt.address)
		Expect(err).NotTo(HaveOccurred())
		defer idle.Close()
		in := bufio.NewReader(idle)
		Expect(call{path: "/ticket/", id: "idle"}.request(gt).Write(idle)).To(Succeed())
		resp, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		io.Copy(io.Discard, resp.Body)

		slow := make(chan response, 1)
		go func() {
			slow <- call{path: "/ticket/", id: "slow", header: map[string]string{"X-Remaining": "9000"}}.do(gt)
		}()
		Eventually(eng.running.Load).Should(Equal(int64(1)))
		drained := make(chan struct{})
		go func() {
			gt.server.Drain(context.Background())
			close(drained)
		}()
		Eventually(gt.Ready).Should(BeFalse())
		_, err = in.ReadByte()
		Expect(err).To(HaveOccurred())
		early := call{path: "/ticket/", id: "early"}.do(gt)
		Expect(early.status).To(Equal(http.StatusOK))
		Consistently(drained, 1200*time.Millisecond).ShouldNot(BeClosed())
		close(release)
		Expect((<-slow).status).To(Equal(http.StatusOK))
		Eventually(drained, 5*time.Second).Should(BeClosed())
	})

	// Callers send one request after the other on keep-alive connections, while the daemon drains
	// and closes idle connections. If the daemon closed a connection from which it had already
	// read the next request, the request would run, but its caller would get no response.
	It("never closes a connection on which it has read a request", func() {
		eng := newEngine("a", nil)
		gt := newGate("entry-1")
		gt.configure(1, config(), 8, eng)
		stop := make(chan struct{})
		var group sync.WaitGroup
		var mu sync.Mutex
		answers := make(map[string]bool)
		for worker := range 8 {
			group.Go(func() {
				defer GinkgoRecover()
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				for turn := 0; ; turn++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprintf("w%d-%d", worker, turn)
					resp, err := transport.RoundTrip(call{path: "/ticket/", id: id}.request(gt))
					if err != nil {
						return
					}
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					Expect(err).NotTo(HaveOccurred())
					mu.Lock()
					answers[id] = true
					mu.Unlock()
					time.Sleep(time.Duration(worker) * time.Millisecond)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		gt.server.Drain(context.Background())
		close(stop)
		group.Wait()

		mu.Lock()
		defer mu.Unlock()
		var lost []string
		for _, req := range eng.requests() {
			if !answers[req.id] {
				lost = append(lost, req.id)
			}
		}
		Expect(lost).To(BeEmpty(), "they ran, and their callers got no answer")
	})
})
