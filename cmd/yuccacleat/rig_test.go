package main_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

// rigRounds is how often a cut is set against what is under way; a hole of a few
// microseconds shows in one round of some hundred.
const rigRounds = 400

// The rig's own cuts are what the specs of split fleets stand on: a call or connection
// that slips through one makes both sides read the same note, and a spec fails for
// something that no daemon did.
var _ = Describe("a cut of the rig", func() {
	// A daemon's call waits at the platform for the next note. The gate is cut and then
	// the note is published: the call must not bring it.
	It("of a gate holds for calls that were waiting", func() {
		var mu sync.Mutex
		var published chan struct{}
		next := func() chan struct{} {
			mu.Lock()
			defer mu.Unlock()
			published = make(chan struct{})
			return published
		}
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			note := published
			mu.Unlock()
			select {
			case <-note:
				_, _ = io.WriteString(w, "note")
			case <-r.Context().Done():
			}
		}))
		defer platform.Close()
		way := newGate(strings.TrimPrefix(platform.URL, "http://"))
		defer way.close()
		for range rigRounds {
			note := next()
			way.let()
			came := make(chan string)
			go func() {
				defer close(came)
				reply, err := http.Get("http://" + way.address())
				if err != nil {
					return
				}
				defer reply.Body.Close()
				raw, _ := io.ReadAll(reply.Body)
				came <- string(raw)
			}()
			time.Sleep(time.Millisecond)
			way.cut()
			close(note)
			Expect(<-came).To(BeEmpty())
		}
	})

	// A daemon that was cut off calls again and again. None of these calls may slip through.
	It("of a gate lets nothing in that comes while it is shut", func() {
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "note")
		}))
		defer platform.Close()
		way := newGate(strings.TrimPrefix(platform.URL, "http://"))
		defer way.close()
		way.cut()
		var calls sync.WaitGroup
		var passed atomic.Int64
		for range 8 {
			calls.Go(func() {
				for range rigRounds {
					if reply, err := http.Get("http://" + way.address()); err == nil {
						passed.Add(1)
						reply.Body.Close()
					}
				}
			})
		}
		calls.Wait()
		Expect(passed.Load()).To(BeZero())
	})

	// The test publishes a note just after it has cut daemons off whose calls were waiting. The
	// end of those calls must not end the test's own one.
	It("of a gate ends no other call to the platform", func() {
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/watch" {
				<-r.Context().Done()
			}
		}))
		defer platform.Close()
		var ways []*gate
		for range 5 {
			way := newGate(strings.TrimPrefix(platform.URL, "http://"))
			defer way.close()
			ways = append(ways, way)
		}
		for range rigRounds {
			var calls sync.WaitGroup
			for _, way := range ways {
				way.let()
				calls.Go(func() {
					if reply, err := http.Get("http://" + way.address() + "/watch"); err == nil {
						reply.Body.Close()
					}
				})
			}
			time.Sleep(time.Millisecond)
			for _, way := range ways {
				way.cut()
			}
			for range ways {
				put(strings.TrimPrefix(platform.URL, "http://"), "/note", []byte("{}"))
			}
			calls.Wait()
		}
	})

	// A daemon dials just when it is parted from another one. Its connection must not
	// stay for as long as the cut holds.
	It("of a relay holds for connections that were being made", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		took := make(chan net.Conn, 1)
		go func() {
			defer close(took)
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				took <- conn
			}
		}()
		rel := newRelay("entry-2")
		defer rel.close()
		rel.point(listener.Addr().String())
		hello, err := yuccawire.Encode(yuccawire.KindHello, yuccawire.Hello{Incarnation: "entry-1.00112233445566778899aabbccddeeff", Centre: "odessa-1"})
		Expect(err).NotTo(HaveOccurred())
		for range rigRounds {
			rel.cut(func(yuccaid.VM, yuccaid.VM) bool { return false })
			conn, err := net.Dial("tcp", rel.address())
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write(hello)
			Expect(err).NotTo(HaveOccurred())
			rel.cut(func(yuccaid.VM, yuccaid.VM) bool { return true })
			Expect(ended(ctx, conn)).To(BeTrue())
			_ = conn.Close()
			select {
			case far := <-took:
				_ = far.Close()
			default:
			}
		}
	})
})

// ended waits until the other side has closed, and is false for one that stays.
func ended(ctx context.Context, conn net.Conn) bool {
	until, stop := context.WithTimeout(ctx, patience)
	defer stop()
	deadline, _ := until.Deadline()
	_ = conn.SetReadDeadline(deadline)
	_, err := io.Copy(io.Discard, conn)
	waited, late := err.(net.Error)
	return !late || !waited.Timeout()
}
