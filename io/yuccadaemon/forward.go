package yuccadaemon

import (
	"context"
	"errors"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

// forwardDial bounds how long a forwarder tries to reach the owner.
const forwardDial = 3 * time.Second

// Submit runs an opened request, here or at the daemon that opened it.
func (d *Daemon) Submit(ctx context.Context, id yuccaid.RequestText, acc yuccaid.Account, req Request) (*Answer, error) {
	parsed, err := id.Parse(d.key)
	if err != nil {
		return nil, &Problem{Kind: KindUnknownID, Run: yuccaonce.Unknown}
	}
	if parsed.Owner == d.self.Incarnation {
		return d.submitOwn(id, acc, req)
	}
	return d.forward(ctx, parsed.Owner, id, 0, yuccawire.KindSubmit, yuccawire.Submission{
		ID: id, Account: acc, Pool: req.Pool, Operation: req.Operation, Tier: req.Tier,
		DeadlineMillis: req.DeadlineMillis, Prompt: req.Prompt, AnswerTokens: req.AnswerTokens,
	})
}

// Follow returns the answer of a submitted request from a position on.
func (d *Daemon) Follow(ctx context.Context, id yuccaid.RequestText, acc yuccaid.Account, from int) (*Answer, error) {
	return d.follow(ctx, yuccawire.Follow{ID: id, Account: acc, From: from})
}

// Outcome returns what is known of a request now.
func (d *Daemon) Outcome(ctx context.Context, id yuccaid.RequestText, acc yuccaid.Account) (yuccaonce.Outcome, error) {
	answer, err := d.follow(ctx, yuccawire.Follow{ID: id, Account: acc, OutcomeOnly: true})
	if err != nil {
		return yuccaonce.Outcome{}, err
	}
	return drain(ctx, answer)
}

// Abort ends a request for its caller.
func (d *Daemon) Abort(ctx context.Context, id yuccaid.RequestText, acc yuccaid.Account) (yuccaonce.Outcome, error) {
	parsed, err := id.Parse(d.key)
	if err != nil {
		return yuccaonce.Outcome{}, &Problem{Kind: KindUnknownID, Run: yuccaonce.Unknown}
	}
	if parsed.Owner == d.self.Incarnation {
		return d.abortOwn(id, acc)
	}
	answer, err := d.forward(ctx, parsed.Owner, id, 0, yuccawire.KindAbort, yuccawire.Abort{ID: id, Account: acc})
	if err != nil {
		return yuccaonce.Outcome{}, err
	}
	return drain(ctx, answer)
}

func (d *Daemon) abortOwn(id yuccaid.RequestText, acc yuccaid.Account) (yuccaonce.Outcome, error) {
	var outcome yuccaonce.Outcome
	var err error
	d.control.call(func(now time.Time) { outcome, err = d.abort(now, id, acc) })
	return outcome, err
}

func drain(ctx context.Context, answer *Answer) (yuccaonce.Outcome, error) {
	from := 0
	for {
		pieces, outcome, err := answer.Next(ctx, from)
		if err != nil {
			return yuccaonce.Outcome{}, err
		}
		if outcome != nil {
			return *outcome, nil
		}
		from += len(pieces)
	}
}

func (d *Daemon) follow(ctx context.Context, follow yuccawire.Follow) (*Answer, error) {
	parsed, err := follow.ID.Parse(d.key)
	if err != nil {
		return nil, &Problem{Kind: KindUnknownID, Run: yuccaonce.Unknown}
	}
	if parsed.Owner == d.self.Incarnation {
		return d.followOwn(follow)
	}
	return d.forward(ctx, parsed.Owner, follow.ID, follow.From, yuccawire.KindFollow, follow)
}

func (d *Daemon) followOwn(follow yuccawire.Follow) (*Answer, error) {
	var answer *Answer
	var err error
	d.control.call(func(now time.Time) { answer, err = d.lookUp(now, follow) })
	return answer, err
}

func (d *Daemon) lookUp(now time.Time, follow yuccawire.Follow) (*Answer, error) {
	outcome, err := d.owner.Outcome(now, follow.ID, follow.Account)
	if err != nil {
		return nil, problemOf(err)
	}
	if follow.OutcomeOnly {
		answer := newAnswer(follow.ID, nil)
		answer.end(outcome)
		return answer, nil
	}
	if r, open := d.runs[follow.ID]; open {
		r.abandoned = time.Time{}
		return r.answer, nil
	}
	return d.closedAnswer(now, follow.ID, outcome)
}

// forward asks the owner over a connection of its own and relays what it answers.
//
// When the owner is gone nobody knows whether the request ran, so the caller is told
// `unknown`; running it here could run it twice.
func (d *Daemon) forward(ctx context.Context, owner yuccaid.Incarnation, id yuccaid.RequestText, from int, kind yuccawire.Kind, body any) (*Answer, error) {
	lost := &Problem{Kind: KindOwnerLost, Run: yuccaonce.Unknown}
	address, found := d.addressOf(owner)
	if !found {
		return nil, lost
	}
	dialling, stop := context.WithTimeout(ctx, forwardDial)
	defer stop()
	conn, err := d.hub.Dial(dialling, address)
	if err != nil {
		return nil, lost
	}
	if conn.Peer().Incarnation != owner {
		conn.Close()
		return nil, lost
	}
	if err := conn.Send(kind, body); err != nil {
		conn.Close()
		return nil, lost
	}
	return d.relayed(ctx, conn, id, from)
}

// relayed waits for the first word, so that a refusal becomes an error and not an
// answer, and relays the rest in the background.
func (d *Daemon) relayed(ctx context.Context, conn *yuccalink.Conn, id yuccaid.RequestText, from int) (*Answer, error) {
	answer := newAnswer(id, nil)
	answer.base = from
	first := make(chan error, 1)
	relaying, stop := context.WithCancel(d.traffic)
	answer.leave = func(*Answer) { stop() }
	d.workers.Add(2)
	go func() {
		defer d.workers.Done()
		<-relaying.Done()
		conn.Close()
	}()
	go func() {
		defer d.workers.Done()
		defer stop()
		d.receive(conn, answer, first)
	}()
	select {
	case err := <-first:
		return answer, err
	case <-ctx.Done():
		stop()
		return nil, &Problem{Kind: KindUnknownState, Run: yuccaonce.Unknown}
	}
}

// receive copies frames into the answer until its end. A connection that breaks ends
// the answer as unknown and partial, never as a whole answer that is too short.
func (d *Daemon) receive(conn *yuccalink.Conn, answer *Answer, first chan<- error) {
	told := false
	tell := func(err error) {
		if !told {
			told = true
			first <- err
		}
	}
	for {
		frame, err := conn.Receive()
		if err == nil {
			err = received(frame, answer, tell)
		}
		switch {
		case errors.Is(err, errEnded):
			return
		case err != nil:
			answer.end(yuccaonce.Outcome{Run: yuccaonce.Unknown, Reason: yuccaonce.ReasonOwnerLost, Partial: answer.size() > 0})
			tell(nil)
			return
		}
	}
}

// errEnded marks the regular end of a relayed answer.
var errEnded = errors.New("answer has ended")

func received(frame yuccawire.Frame, answer *Answer, tell func(error)) error {
	switch frame.Kind {
	case yuccawire.KindPiece:
		var piece yuccawire.Piece
		if err := frame.Decode(&piece); err != nil {
			return err
		}
		if piece.ID != answer.id || piece.Position != answer.next() {
			return &Problem{Kind: KindUnknownState, Detail: "a piece of another answer"}
		}
		answer.add(piece.Data)
		tell(nil)
	case yuccawire.KindEnd:
		var end yuccawire.End
		if err := frame.Decode(&end); err != nil {
			return err
		}
		if end.Problem != "" {
			tell(&Problem{Kind: Kind(end.Problem), Detail: end.Detail, Run: end.Outcome.Run, Back: end.Outcome.Back})
			return errEnded
		}
		answer.end(end.Outcome)
		tell(nil)
		return errEnded
	}
	return nil
}

// serveTraffic answers one forwarder.
func (d *Daemon) serveTraffic(conn *yuccalink.Conn) {
	defer conn.Close()
	frame, err := conn.Receive()
	if err != nil {
		return
	}
	ctx, stop := context.WithCancel(d.traffic)
	defer stop()
	if frame.Kind == yuccawire.KindOffer {
		d.serveGuest(ctx, conn, frame)
		return
	}
	go func() {
		defer stop()
		untilClosed(conn)
	}()
	switch frame.Kind {
	case yuccawire.KindSubmit:
		d.serveSubmit(ctx, conn, frame)
	case yuccawire.KindFollow:
		d.serveFollow(ctx, conn, frame)
	case yuccawire.KindAbort:
		d.serveAbort(ctx, conn, frame)
	}
}

// untilClosed reads until the forwarder hangs up, which is how it says that its
// caller has left.
func untilClosed(conn *yuccalink.Conn) {
	for {
		if _, err := conn.Receive(); err != nil {
			return
		}
	}
}

func (d *Daemon) serveSubmit(ctx context.Context, conn *yuccalink.Conn, frame yuccawire.Frame) {
	var sub yuccawire.Submission
	if err := frame.Decode(&sub); err != nil {
		return
	}
	answer, err := d.submitOwn(sub.ID, sub.Account, Request{
		Pool: sub.Pool, Operation: sub.Operation, Tier: sub.Tier,
		DeadlineMillis: sub.DeadlineMillis, Prompt: sub.Prompt, AnswerTokens: sub.AnswerTokens,
	})
	d.serveAnswer(ctx, conn, sub.ID, answer, 0, err)
}

func (d *Daemon) serveFollow(ctx context.Context, conn *yuccalink.Conn, frame yuccawire.Frame) {
	var follow yuccawire.Follow
	if err := frame.Decode(&follow); err != nil {
		return
	}
	answer, err := d.followOwn(follow)
	d.serveAnswer(ctx, conn, follow.ID, answer, follow.From, err)
}

func (d *Daemon) serveAbort(ctx context.Context, conn *yuccalink.Conn, frame yuccawire.Frame) {
	var abort yuccawire.Abort
	if err := frame.Decode(&abort); err != nil {
		return
	}
	outcome, err := d.abortOwn(abort.ID, abort.Account)
	answer := newAnswer(abort.ID, nil)
	answer.end(outcome)
	d.serveAnswer(ctx, conn, abort.ID, answer, 0, err)
}

func (d *Daemon) serveAnswer(ctx context.Context, conn *yuccalink.Conn, id yuccaid.RequestText, answer *Answer, from int, err error) {
	if err != nil {
		var prob *Problem
		if !errors.As(err, &prob) {
			prob = &Problem{Kind: KindUnknownState, Run: yuccaonce.Unknown}
		}
		_ = conn.Send(yuccawire.KindEnd, yuccawire.End{
			ID: id, Problem: string(prob.Kind), Detail: prob.Detail,
			Outcome: yuccaonce.Outcome{Run: prob.Run, Back: prob.Back},
		})
		return
	}
	answer.Join()
	told := false
	defer func() { answer.Leave(told) }()
	for {
		pieces, outcome, err := answer.Next(ctx, from)
		if err != nil {
			return
		}
		for _, piece := range pieces {
			if err := conn.Send(yuccawire.KindPiece, yuccawire.Piece{ID: id, Position: piece.Position, Data: piece.Data}); err != nil {
				return
			}
		}
		from += len(pieces)
		if outcome != nil {
			told = conn.Send(yuccawire.KindEnd, yuccawire.End{ID: id, Outcome: *outcome}) == nil
			return
		}
	}
}
