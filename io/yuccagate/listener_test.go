package yuccagate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// closable is a connection that records whether it was closed. Like those of http.Server, it has a
// reader that closes it after a failed read.
type closable struct {
	net.Conn
	closed chan struct{}
}

func (cn *closable) Close() error {
	close(cn.closed)
	return cn.Conn.Close()
}

// Callers keep connections open that they don't use. When a new connection would exceed the bound,
// the connection that has been idle for longest is closed. A request is lost if its caller sends it
// just as the connection is closed, and the caller that was served the longest time ago is the
// least likely to send a request at that moment.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// idle is how long each connection has been idle; zero stands for a connection in use.
		// closed is the index of the connection that has to be closed, or -1 if none has to be.
		idle   []time.Duration
		closed int
	}{
		{"the longest", []time.Duration{time.Second, 3 * time.Second, 2 * time.Second}, 1},
		{"none in use", []time.Duration{0, time.Second, 0}, 1},
		{"none at all", []time.Duration{0, 0}, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			lis := NewListener(nil, len(test.idle), func(time.Time, Rejection) {})
			conns := make([]*closable, len(test.idle))
			for at, idle := range test.idle {
				caller, accepted := net.Pipe()
				defer caller.Close()
				conns[at] = &closable{Conn: accepted, closed: make(chan struct{})}
				conn := lis.track(conns[at]).(*callerConn)
				if idle > 0 {
					conn.idleSince = now.Add(-idle)
				}
				go func() {
					if _, err := conn.Read(make([]byte, 1)); err != nil {
						conn.Close()
					}
				}()
			}
			lis.closeLongestIdle()
			if test.closed >= 0 {
				<-conns[test.closed].closed
			}
			for at, conn := range conns {
				select {
				case <-conn.closed:
					if at != test.closed {
						t.Errorf("connection %d was closed", at)
					}
				default:
				}
			}
			if want := len(conns) - min(test.closed+1, 1); lis.Count() != want {
				t.Errorf("%d connections are open, want %d", lis.Count(), want)
			}
		})
	}
}

// Guards against the failure that a request is lost because it has arrived on an idle connection and the
// process has not read it yet when the connection is closed.
func TestIdleConnectionWithAnUnreadRequestIsKept(t *testing.T) {
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
	conn, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	lis.ConnState(conn, http.StateIdle)
	if _, err := caller.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for !hasUnread(conn.(*callerConn).Conn) {
		time.Sleep(time.Millisecond)
	}
	lis.CloseIdle(time.Now())
	lis.closeLongestIdle()
	got := make([]byte, 3)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "GET" {
		t.Fatalf("read %q, %v", got, err)
	}
	lis.ConnState(conn, http.StateIdle)
	lis.CloseIdle(time.Now())
	if _, err := conn.Read(got); err == nil {
		t.Fatal("an idle connection without an unread request was kept")
	}
}

// A daemon is told to end just as the first bytes of a request arrive. If the connection didn't
// count as busy before the request's handler runs, the daemon would close it, although the request
// may still run.
func TestConnectionIsBusyFromItsFirstByte(t *testing.T) {
	lis := NewListener(nil, 0, nil)
	caller, accepted := net.Pipe()
	defer caller.Close()
	conn := lis.track(accepted)
	expectBusy := func(want int, when string) {
		t.Helper()
		if got := lis.CountBusy(); got != want {
			t.Errorf("%s: %d busy connections, want %d", when, got, want)
		}
	}
	expectBusy(0, "before any byte")
	go caller.Write([]byte("G"))
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	expectBusy(1, "after the first byte")
	lis.ConnState(conn, http.StateIdle)
	expectBusy(0, "after the response")
	conn.Close()
	expectBusy(0, "after the connection was closed")
}

// stallingConn is a connection whose reader stands still after it has taken bytes from the socket.
type stallingConn struct {
	net.Conn
	taken, resume chan struct{}
}

func (conn *stallingConn) Read(buf []byte) (int, error) {
	n, err := conn.Conn.Read(buf)
	if n > 0 {
		close(conn.taken)
		<-conn.resume
	}
	return n, err
}

// Guards against the failure that a request is lost because its bytes have left the socket, and the
// process stands still before it notes that, when the idle connections are closed.
func TestIdleConnectionWhoseRequestIsBeingReadIsKept(t *testing.T) {
	caller, accepted := net.Pipe()
	defer caller.Close()
	inner := &stallingConn{Conn: accepted, taken: make(chan struct{}), resume: make(chan struct{})}
	lis := NewListener(nil, 0, nil)
	conn := lis.track(inner)
	defer conn.Close()
	lis.ConnState(conn, http.StateIdle)
	go caller.Write([]byte("GET"))
	go func() {
		<-inner.taken
		lis.CloseIdle(time.Now())
		close(inner.resume)
	}()
	got := make([]byte, 3)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "GET" {
		t.Fatalf("read %q, %v", got, err)
	}
	if count := lis.CountBusy(); count != 1 {
		t.Errorf("%d busy connections, want 1", count)
	}
}

// Guards against the failure that a connection is read from which isn't admitted.
func TestConnectionThatIsNotAdmittedIsClosedUnread(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	asked, rejected := 0, 0
	lis := NewListener(inner, 0, func(time.Time, Rejection) { rejected++ }, AdmitIf(func() bool {
		asked++
		return asked > 1
	}))
	for range 2 {
		caller, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
	}
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.Close()
	if asked != 2 || rejected != 1 {
		t.Errorf("%d connections were asked about and %d rejected, want 2 and 1", asked, rejected)
	}
}
