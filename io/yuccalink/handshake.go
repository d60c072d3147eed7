package yuccalink

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

// acceptPause is the wait after a failed accept. Without it, a daemon that is out of file descriptors
// would use all of its processor time on failing accepts.
const acceptPause = 50 * time.Millisecond

// acceptAll accepts connections until the listener is closed. It continues after a failed accept,
// because a daemon that no longer accepts connections would seem alive but be unreachable.
func (hub *Hub) acceptAll() {
	for {
		raw, err := hub.listener.Accept()
		if hub.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				raw.Close()
			}
			return
		}
		if err != nil {
			hub.onFault("", eris.Wrap(err, "accept a connection"))
			sleep(hub.ctx, acceptPause)
			continue
		}
		hub.pending.add(raw)
		hub.group.Go(func() { hub.accept(raw) })
	}
}

// accept performs the handshake of one accepted connection.
func (hub *Hub) accept(raw net.Conn) {
	raw.SetDeadline(time.Now().Add(hub.limits.Handshake))
	theirs, err := yuccawire.HandshakeAccept(raw, hub.key, hub.hello(0))
	hub.pending.remove(raw)
	if err != nil {
		raw.Close()
		hub.onFault(raw.RemoteAddr().String(), eris.Wrap(err, "accepted connection"))
		return
	}
	if err := hub.start(raw, theirs); err != nil {
		hub.onFault(theirs.Address, err)
	}
}

// start hands over an accepted connection according to the purpose that the peer has stated.
func (hub *Hub) start(raw net.Conn, theirs yuccawire.Hello) error {
	member, err := hub.check(raw, theirs)
	if err != nil {
		return err
	}
	if theirs.Purpose == yuccawire.PurposeControl {
		return hub.join(raw, member, "")
	}
	conn, err := hub.startTraffic(raw, member)
	if err == nil {
		hub.onTraffic(conn)
	}
	return err
}

// open dials an address and performs the handshake.
func (hub *Hub) open(ctx context.Context, address string, purpose yuccawire.Purpose) (net.Conn, yuccapeer.Member, error) {
	dialer := net.Dialer{Timeout: hub.limits.Dial}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, yuccapeer.Member{}, eris.Wrapf(err, "dial %s", address)
	}
	raw.SetDeadline(time.Now().Add(hub.limits.Handshake))
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	theirs, err := yuccawire.HandshakeDial(raw, hub.key, hub.hello(purpose))
	if !stop() {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, yuccapeer.Member{}, eris.Wrapf(err, "handshake with %s", address)
	}
	member, err := hub.check(raw, theirs)
	return raw, member, err
}

// check returns the member that an authenticated hello describes. It closes the connection and fails
// if the peer is this daemon itself.
func (hub *Hub) check(raw net.Conn, theirs yuccawire.Hello) (yuccapeer.Member, error) {
	raw.SetDeadline(time.Time{})
	inc, err := theirs.Peer()
	if err == nil && inc == hub.self.Incarnation {
		err = &SelfError{Address: theirs.Address}
	}
	if err != nil {
		raw.Close()
		return yuccapeer.Member{}, err
	}
	return yuccapeer.Member{
		VM:          inc.VM,
		Centre:      theirs.Centre,
		Address:     theirs.Address,
		Incarnation: inc,
		Leaving:     theirs.Leaving,
	}, nil
}

func (hub *Hub) hello(purpose yuccawire.Purpose) yuccawire.Hello {
	return yuccawire.Hello{
		Purpose:     purpose,
		Incarnation: hub.self.Incarnation.String(),
		Centre:      hub.self.Centre,
		Address:     hub.self.Address,
		Leaving:     hub.self.Leaving,
	}
}

func (hub *Hub) wrap(raw net.Conn) *stream {
	return &stream{Conn: raw, silence: hub.limits.Silence, write: hub.limits.Write}
}

// sleep waits and reports whether the context hasn't ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
