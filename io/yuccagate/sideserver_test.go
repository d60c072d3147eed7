package yuccagate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against the failure that silent clients at the address of readiness keep the platform's probes out, or that an idle
// connection of the platform is closed before theirs.
func TestSilentConnectionsGiveWayToProbes(t *testing.T) {
	listener, err := ListenSide("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewSideServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	address := listener.Addr().String()
	connect := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		return conn
	}
	client := &http.Client{Transport: &http.Transport{}}
	probe := func() {
		resp, err := client.Get("http://" + address + "/")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("got status %d, want 200", resp.StatusCode)
		}
	}
	first := connect()
	for range sideConns - 2 {
		connect()
	}
	probe()
	connect()
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got %v on the connection that is silent for longest, want its end", err)
	}
	for range 2 * sideConns {
		connect()
		probe()
	}
}
