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
func (d *Daemon) Submit(ctx context.Context, id yuccaid.RequestID, acc yuccaid.Account, req Request) (*Answer, error) {
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
func (d *Daemon) Follow(ctx context.Context, id yuccaid.RequestID, acc yuccaid.Account, from int) (*Answer, error) {
	return d.follow(ctx, yuccawire.Follow{ID: id, Account: acc, From: from})
}

// Outcome returns what is known of a request now.
func (d *Daemon) Outcome(ctx context.Context, id yuccaid.RequestID, acc yuccaid.Account) (yuccaonce.Outcome, error) {
	answer, err := d.follow(ctx, yuccawire.Follow{ID: id, Account: acc, OutcomeOnly: true})
	if err != nil {
		return yuccaonce.Outcome{}, err
	}
	return drain(ctx, answer)
}

// Abort ends a request for its caller.
func (d *Daemon) Abort(ctx context.Context, id yuccaid.RequestID, acc yuccaid.Account) (yuccaonce.Outcome, error) {
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

func (d *Daemon) abortOwn(id yuccaid.RequestID, acc yuccaid.Account) (yuccaonce.Outcome, error) {
	var outcome yuccaonce.Outcome
	var err error
	if !d.control.Call(func(now time.Time) { outcome, err = d.abort(now, id, acc) }) {
		return outcome, errClosing
	}
	return outcome, err
}

// errClosing is what a caller is told whose question comes when control has ended.
var errClosing = &Problem{Kind: KindLeaving, Run: yuccaonce.Unknown}

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
	if !d.control.Call(func(now time.Time) { answer, err = d.lookUp(now, follow) }) {
		return nil, errClosing
	}
	return answer, err
}

func (d *Daemon) lookUp(now time.Time, follow yuccawire.Follow) (*Answer, error) {
	outcome, err := d.owner.Outcome(now, follow.ID, follow.Account)
	if err != nil {
		return nil, problemOf(err)
	}
	if follow.OutcomeOnly {
		answer := newAnswer(follow.ID)
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
func (d *Daemon) forward(ctx context.Context, owner yuccaid.Incarnation, id yuccaid.RequestID, from int, kind yuccawire.Kind, body any) (*Answer, error) {
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
func (d *Daemon) relayed(ctx context.Context, conn *yuccalink.Conn, id yuccaid.RequestID, from int) (*Answer, error) {
	answer := newAnswer(id)
	answer.base = from
	first := make(chan error, 1)
	relaying, stop := context.WithCancel(d.traffic)
	answer.leave = stop
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
			tell(&Problem{Kind: Kind(end.Problem), Detail: end.Detail, Run: end.Outcome.Run, Back: end.Outcome.RetryAfter})
			return errEnded
		}
		answer.end(end.Outcome)
		tell(nil)
		return errEnded
	}
	return nil
}
