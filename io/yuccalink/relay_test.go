package yuccalink_test

import (
	"net"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay forwards the connections between two daemons and can make them silent, as a firewall that has
// lost its state does.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	pipes    []*pipe
}

// pipe is one connection through the relay. Data from a silent side is dropped.
type pipe struct {
	near, far             net.Conn
	silentNear, silentFar atomic.Bool
}

// newRelay starts a relay to an address. It is closed at the end of the spec.
func newRelay(target string) *relay {
	rel := &relay{listener: listen(), target: target}
	go rel.acceptAll()
	DeferCleanup(func() {
		rel.listener.Close()
		rel.cut()
	})
	return rel
}

func (rel *relay) address() string { return rel.listener.Addr().String() }

// turnTo forwards new connections to another address.
func (rel *relay) turnTo(target string) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.target = target
}

func (rel *relay) acceptAll() {
	for {
		near, err := rel.listener.Accept()
		if err != nil {
			return
		}
		rel.mu.Lock()
		target := rel.target
		rel.mu.Unlock()
		far, err := net.Dial("tcp", target)
		if err != nil {
			near.Close()
			continue
		}
		pip := &pipe{near: near, far: far}
		rel.mu.Lock()
		rel.pipes = append(rel.pipes, pip)
		rel.mu.Unlock()
		go forward(near, far, &pip.silentNear)
		go forward(far, near, &pip.silentFar)
	}
}

func forward(from, to net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 64<<10)
	for {
		count, err := from.Read(buf)
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if count > 0 {
			to.Write(buf[:count])
		}
		if err != nil {
			to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// forget makes the given sides of all present connections silent. New connections work.
func (rel *relay) forget(near, far bool) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	Expect(rel.pipes).NotTo(BeEmpty())
	for _, pip := range rel.pipes {
		pip.silentNear.Store(near)
		pip.silentFar.Store(far)
	}
}

// cut closes all present connections.
func (rel *relay) cut() {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	for _, pip := range rel.pipes {
		pip.near.Close()
		pip.far.Close()
	}
}
