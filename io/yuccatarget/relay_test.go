package yuccatarget_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"yuccacleat/io/yuccastand"
	"yuccacleat/io/yuccatarget"
)

const relayed = 1000

// scripted is a connection whose other end has already said all of its answer.
type scripted struct {
	net.Conn
	answer *bytes.Reader
}

func (conn scripted) Read(p []byte) (int, error)    { return conn.answer.Read(p) }
func (scripted) Write(p []byte) (int, error)        { return len(p), nil }
func (scripted) Close() error                       { return nil }
func (scripted) SetReadDeadline(time.Time) error    { return nil }
func (scripted) SetWriteDeadline(t time.Time) error { return nil }

// script renders the answer to a request as a target sends it, line by line.
func script(id string, pieces int) (head string, lines []string) {
	for position := range pieces {
		lines = append(lines, fmt.Sprintf(`{"id":%q,"position":%d,"tokens":1,"data":%q}`+"\n", id, position, yuccastand.AnswerPiece(id, position)))
	}
	end := fmt.Sprintf(`{"id":%q,"end":true,"pieces":%d,"hash":%q}`+"\n", id, pieces, yuccastand.AnswerHash(id, pieces))
	return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", append(lines, end)
}

// relay returns a function that relays one scripted answer through a client.
func relay() func() error {
	head, lines := script("a", relayed)
	whole := []byte(head)
	for _, line := range lines {
		whole = append(whole, line...)
	}
	cl := yuccatarget.New(yuccatarget.WithDial(func(context.Context, string, string) (net.Conn, error) {
		return scripted{answer: bytes.NewReader(whole)}, nil
	}))
	call := generation("a", "127.0.0.1:1", relayed)
	return func() error {
		_, err := cl.Run(context.Background(), call, func(yuccatarget.Piece) error { return nil })
		return err
	}
}

// An answer of a whole rulebook is relayed in tens of thousands of pieces, so what each
// allocates is bounded: about 6 when the bound was set.
func TestRelayAllocations(t *testing.T) {
	run := relay()
	if err := run(); err != nil {
		t.Fatal(err)
	}
	if each := testing.AllocsPerRun(10, func() { _ = run() }) / relayed; each > 8 {
		t.Errorf("%.1f allocations for each piece: keep them under 8", each)
	}
}

// BenchmarkRelay is the cost of checking and handing on 1,000 pieces without sockets.
func BenchmarkRelay(b *testing.B) {
	run := relay()
	b.ReportAllocs()
	for b.Loop() {
		if err := run(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRelayLoopback adds a socket and a write of its own for each piece, as engines
// send them; it counts both ends.
func BenchmarkRelayLoopback(b *testing.B) {
	benchmarkLoopback(b, relayed)
}

// BenchmarkCallLoopback is the cost of a call with one piece, most of which is its
// connection; it counts both ends.
func BenchmarkCallLoopback(b *testing.B) {
	benchmarkLoopback(b, 1)
}

func benchmarkLoopback(b *testing.B, pieces int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	head, lines := script("a", pieces)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			for _, text := range append([]string{head}, lines...) {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	cl := yuccatarget.New()
	call := generation("a", listener.Addr().String(), relayed)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := cl.Run(context.Background(), call, func(yuccatarget.Piece) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
