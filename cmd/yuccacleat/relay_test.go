package main_test

import (
	"bytes"
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

// relay stands between daemons on the way to one of them. It reads who dials from the
// greeting, so that a test can cut any pair apart or let old connections go silent.
type relay struct {
	listener net.Listener
	to       yuccaid.VM

	mu     sync.Mutex
	target string
	apart  func(from, to yuccaid.VM) bool
	conns  map[*relayed]bool
}

// relayed is one connection through a relay.
type relayed struct {
	from    yuccaid.VM
	in, out net.Conn
	mute    bool
}

// newRelay listens at once, so that its address can stand in a daemon's settings.
func newRelay(to yuccaid.VM) *relay {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	rel := &relay{listener: listener, to: to, conns: make(map[*relayed]bool), apart: func(yuccaid.VM, yuccaid.VM) bool { return false }}
	go rel.accept()
	return rel
}

func (rel *relay) address() string {
	return rel.listener.Addr().String()
}

func (rel *relay) accept() {
	for {
		in, err := rel.listener.Accept()
		if err != nil {
			return
		}
		go rel.serve(in)
	}
}

func (rel *relay) serve(in net.Conn) {
	defer in.Close()
	var greeting bytes.Buffer
	frame, err := yuccawire.Read(io.TeeReader(in, &greeting))
	if err != nil {
		return
	}
	var hello yuccawire.Hello
	if frame.Decode(&hello) != nil {
		return
	}
	inc, err := hello.Peer()
	if err != nil {
		return
	}
	rel.mu.Lock()
	cut, target := rel.apart(inc.VM, rel.to), rel.target
	rel.mu.Unlock()
	if cut {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	conn := &relayed{from: inc.VM, in: in, out: out}
	if !rel.add(conn) {
		return
	}
	defer rel.remove(conn)
	if _, err := out.Write(greeting.Bytes()); err != nil {
		return
	}
	back := make(chan struct{})
	go func() {
		defer close(back)
		rel.pump(conn, in, out)
	}()
	rel.pump(conn, out, in)
	<-back
}

// pump copies one direction; a mute connection swallows what it reads.
func (rel *relay) pump(conn *relayed, to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		rel.mu.Lock()
		mute := conn.mute
		rel.mu.Unlock()
		if mute {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// point says where the daemon really listens.
func (rel *relay) point(target string) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.target = target
}

// cut sets who is apart and ends the connections between them.
func (rel *relay) cut(apart func(from, to yuccaid.VM) bool) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.apart = apart
	for conn := range rel.conns {
		if apart(conn.from, rel.to) {
			_ = conn.in.Close()
			_ = conn.out.Close()
		}
	}
}

// hush lets every open connection go silent for good; new ones work.
func (rel *relay) hush() {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	for conn := range rel.conns {
		conn.mute = true
	}
}

// add refuses a connection whose ends were cut apart while it was being made: a cut
// ends only what it finds.
func (rel *relay) add(conn *relayed) bool {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	if rel.apart(conn.from, rel.to) {
		return false
	}
	rel.conns[conn] = true
	return true
}

func (rel *relay) remove(conn *relayed) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	delete(rel.conns, conn)
}

func (rel *relay) close() {
	_ = rel.listener.Close()
	rel.cut(func(yuccaid.VM, yuccaid.VM) bool { return true })
}
