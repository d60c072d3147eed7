package yuccadaemon

import (
	"context"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

// guest is a request that an owner of another data centre offered to a pool led here.
type guest struct {
	words chan word
}

// serveGuest answers one offer from another data centre for as long as it lasts.
func (d *Daemon) serveGuest(ctx context.Context, conn *yuccalink.Conn, frame yuccawire.Frame) {
	var offer yuccawire.Offer
	if frame.Decode(&offer) != nil {
		return
	}
	ask := d.ask(conn.Peer().Incarnation, offer)
	visitor := &guest{words: make(chan word, awayQueue)}
	leader, leads := d.admitGuest(ask, visitor)
	if !leads {
		_ = conn.Send(yuccawire.KindNotLeader, yuccawire.NotLeader{Pool: ask.Pool, Ref: offer.Ref, Address: leader})
		return
	}
	defer d.control.Post(func(now time.Time) { d.guestLeft(now, ask, visitor) })
	talking, stop := context.WithCancel(ctx)
	defer stop()
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		defer func() { _ = conn.Close() }()
		speak(talking, conn, visitor.words)
	}()
	for {
		frame, err := conn.Receive()
		if err != nil {
			return
		}
		d.onFrame(ask.Owner, frame)
	}
}

// admitGuest offers the request to the pool's leader here, or names the leader.
func (d *Daemon) admitGuest(ask yuccaqueue.Request, visitor *guest) (leader string, leads bool) {
	d.control.Call(func(now time.Time) {
		if _, leads = d.leads[ask.Pool]; !leads {
			member, _ := d.peers.Leader(ask.Pool)
			leader = member.Address
			return
		}
		d.guests[ask.ID] = visitor
		d.onOffer(now, ask.Owner, ask)
	})
	return leader, leads
}

// guestLeft takes back what waits. A run that was granted stays counted until the
// target's own reports or the longest run end it: nobody here knows whether the owner
// still runs it.
func (d *Daemon) guestLeft(now time.Time, ask yuccaqueue.Request, visitor *guest) {
	if d.guests[ask.ID] != visitor {
		return
	}
	delete(d.guests, ask.ID)
	d.onWithdraw(now, ask.Pool, ask.ID)
}

// tellOwner sends a leader's decision to the request's owner, by the guest's own
// connection where the owner is of another data centre.
func (d *Daemon) tellOwner(owner yuccaid.Incarnation, id yuccaid.RequestID, kind yuccawire.Kind, body any) {
	visitor, visits := d.guests[id]
	if !visits {
		_ = d.send(owner, kind, body)
		return
	}
	select {
	case visitor.words <- word{kind, body}:
	default:
	}
}
