package yuccagate

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// Guards against the failure that clients which leave heads unfinished keep all others out, or that a request which has
// arrived is lost because its connection makes room.
func TestUnfinishedHeadMakesRoom(t *testing.T) {
	for _, test := range []struct {
		name string
		// age is how long the head has been unfinished, and unread whether more of it has arrived.
		age            time.Duration
		unread, served bool
		closed         bool
	}{
		{"unfinished for long", 2 * time.Second, false, false, true},
		{"just begun", 500 * time.Millisecond, false, false, false},
		{"more has arrived", 2 * time.Second, true, false, false},
		{"its request is served", 2 * time.Second, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer inner.Close()
			lis := NewListener(inner, 1, func(time.Time, Rejection) {})
			caller, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			accepted, err := lis.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			conn := accepted.(*callerConn)
			now := time.Now()
			conn.head.since = now.Add(-test.age)
			if test.unread {
				if _, err := caller.Write([]byte("GET")); err != nil {
					t.Fatal(err)
				}
				for !hasUnread(conn.Conn) {
					time.Sleep(time.Millisecond)
				}
			}
			if test.served {
				conn.beginRequest()
			}
			lis.closeLongestUnfinished(now)
			if got := lis.Count() == 0; got != test.closed {
				t.Errorf("the connection is being closed: %v, want %v", got, test.closed)
			}
			if test.closed {
				if _, err := conn.Read(make([]byte, 1)); err == nil {
					t.Error("the reader of a connection that makes room wasn't interrupted")
				}
			}
		})
	}
}

// Guards against the failure that a caller which reads nothing holds a connection for good, because its next head is refused
// and the refusal can't be written.
func TestRefusalOfAHeadIsWrittenWithinALimit(t *testing.T) {
	lis := NewListener(nil, 0, nil)
	caller, accepted := net.Pipe()
	defer caller.Close()
	conn := lis.track(accepted)
	lis.ConnState(conn, http.StateIdle)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		written <- err
	}()
	select {
	case err := <-written:
		if !os.IsTimeout(err) {
			t.Errorf("got %v, want a timeout", err)
		}
	case <-time.After(4 * refusalWriteTimeout):
		t.Error("the refusal is still being written")
	}
}
