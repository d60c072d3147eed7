package yuccadaemon

import (
	"context"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/core/yuccashift"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

const (
	// awayQueue bounds what waits to be told to a leader elsewhere: an offer, a few
	// words of progress and the end.
	awayQueue = 16
	// awayHops bounds how often an owner is sent on to another daemon, which happens
	// while a data centre's view is changing.
	awayHops = 3
)

// away is a request's connection to the leader of another data centre. It is the
// request's own, so that it needs no membership across regions.
type away struct {
	place  yuccashift.Candidate
	words  chan word
	cancel context.CancelFunc
}

// word is one message on its way to a leader elsewhere.
type word struct {
	kind yuccawire.Kind
	body any
}

func (aw *away) send(kind yuccawire.Kind, body any) error {
	select {
	case aw.words <- word{kind, body}:
		return nil
	default:
		return yuccalink.ErrBacklog
	}
}

// finish lets the last messages leave before the connection ends.
func (aw *away) finish() {
	_ = aw.send(yuccawire.KindBye, nil)
}

// shiftable are the refusals that another data centre may not share.
var shiftable = map[yuccaonce.Reason]bool{
	yuccaonce.ReasonDeadline:  true,
	yuccaonce.ReasonOverload:  true,
	yuccaonce.ReasonDisplaced: true,
	yuccaonce.ReasonNoTarget:  true,
}

// shift offers a refused request to another data centre and reports whether there is
// one to offer it to. The owner stays who it is and dispatches by itself, so shifting
// can't make a request run twice.
func (d *Daemon) shift(now time.Time, r *run, refusal yuccapool.Refusal) bool {
	if r.away != nil {
		d.shifts.MarkRefused(now, r.away.place.Centre, r.ask, refusal.RetryAfter)
		r.away.cancel()
		r.away = nil
	}
	if !shiftable[yuccaonce.Reason(refusal.Reason)] || d.draining.Load() {
		return false
	}
	r.ask.Remaining = r.remaining(now)
	place, found := d.shifts.Next(now, d.State(), r.ask, r.tried)
	if !found {
		return false
	}
	member, found := d.peers.LikelyLeader(place.Centre, r.claim.Pool)
	if !found {
		return false
	}
	r.tried = append(r.tried, place.Centre)
	r.refusal = refusal
	ctx, cancel := context.WithCancel(d.traffic)
	r.away = &away{place: place, words: make(chan word, awayQueue), cancel: cancel}
	r.leader = yuccaid.Incarnation{}
	offer := r.ask
	offer.Remaining = place.Remaining(offer.Remaining)
	d.metrics.shifted(place.Centre)
	d.log.request(r, "offered to "+string(place.Centre))
	aw := r.away
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		defer cancel()
		d.visit(ctx, r, aw, member.Address, offer)
	}()
	return true
}

// visit offers a request elsewhere and passes messages both ways until it is over.
func (d *Daemon) visit(ctx context.Context, r *run, aw *away, address string, offer yuccaqueue.Request) {
	for range awayHops {
		next, err := d.converse(ctx, r, aw, address, offer)
		if err != nil || next == "" {
			break
		}
		address = next
	}
	d.control.Post(func(now time.Time) { d.returned(now, r, aw) })
}

// converse returns the address of the leader that the daemon there names instead.
func (d *Daemon) converse(ctx context.Context, r *run, aw *away, address string, offer yuccaqueue.Request) (string, error) {
	dialling, stop := context.WithTimeout(ctx, forwardDial)
	defer stop()
	conn, err := d.hub.Dial(dialling, address)
	if err != nil {
		return "", err
	}
	talking, done := context.WithCancel(ctx)
	defer done()
	go func() {
		<-talking.Done()
		_ = conn.Close()
	}()
	if err := conn.Send(yuccawire.KindOffer, d.wireOffer(offer)); err != nil {
		return "", err
	}
	go func() {
		defer done()
		speak(talking, conn, aw.words)
	}()
	return d.listen(conn, r, aw)
}

// speak sends queued messages until the conversation ends.
func speak(ctx context.Context, conn *yuccalink.Conn, words <-chan word) {
	for {
		select {
		case next := <-words:
			if next.kind == yuccawire.KindBye {
				return
			}
			if conn.Send(next.kind, next.body) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// listen takes the answers of the leader elsewhere; each is for this request only.
func (d *Daemon) listen(conn *yuccalink.Conn, r *run, aw *away) (string, error) {
	for {
		frame, err := conn.Receive()
		if err != nil {
			return "", err
		}
		if frame.Kind == yuccawire.KindNotLeader {
			var message yuccawire.NotLeader
			err := frame.Decode(&message)
			return message.Address, err
		}
		d.control.Post(func(now time.Time) { d.heardAway(now, r, aw, conn.Peer().Incarnation, frame) })
	}
}

// heardAway acts on one answer unless the request has moved on since.
func (d *Daemon) heardAway(now time.Time, r *run, aw *away, leader yuccaid.Incarnation, frame yuccawire.Frame) {
	if r.away != aw {
		return
	}
	var err error
	switch frame.Kind {
	case yuccawire.KindGrant:
		err = decoded(frame, func(message yuccawire.Grant) { d.onGrant(now, message.Pool, d.grant(leader, message)) })
	case yuccawire.KindRefusal:
		err = decoded(frame, func(message yuccawire.Refusal) { d.onRefusal(now, d.refusal(message)) })
	case yuccawire.KindCancel:
		err = decoded(frame, func(message yuccawire.Cancel) { d.onCancel(now, d.cancel(message)) })
	}
	if err != nil {
		d.log.problem("message from "+string(aw.place.Centre), err)
	}
}

// returned closes a request whose leader elsewhere can't be reached any more and that
// was not dispatched: it gets the refusal that its own data centre gave.
func (d *Daemon) returned(now time.Time, r *run, aw *away) {
	if r.away != aw || r.running {
		return
	}
	if _, open := d.runs[r.id]; !open {
		return
	}
	d.onRefusal(now, r.refusal)
}
