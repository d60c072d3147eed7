package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes clients' connections on to a machine, and can reset them.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	pairs []*pair
}

// pair is a client's connection and the one to the machine.
type pair struct {
	client, server *net.TCPConn
}

func startProxy(ip, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	prx := &proxy{listener: listener, to: to}
	go prx.accept()
	return prx, nil
}

func (prx *proxy) address() string { return prx.listener.Addr().String() }

func (prx *proxy) accept() {
	for {
		client, err := prx.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", prx.to)
		if err != nil {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		both := &pair{client: client.(*net.TCPConn), server: server.(*net.TCPConn)}
		prx.mu.Lock()
		prx.pairs = append(prx.pairs, both)
		prx.mu.Unlock()
		go both.copy(both.server, both.client)
		go both.copy(both.client, both.server)
	}
}

// copy copies one way. The end of one side is passed on, and so is a reset.
func (both *pair) copy(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		both.reset()
		return
	}
	_ = to.CloseWrite()
}

func (both *pair) reset() {
	for _, conn := range []*net.TCPConn{both.client, both.server} {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// resetEvery resets every so many of the connections that were opened so far.
func (prx *proxy) resetEvery(step int) {
	prx.mu.Lock()
	pairs := prx.pairs
	prx.pairs = nil
	prx.mu.Unlock()
	for index, both := range pairs {
		if index%step == 0 {
			both.reset()
		}
	}
}
