package yuccadaemon

import (
	"context"
	"errors"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

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
	answer := newAnswer(abort.ID)
	answer.end(outcome)
	d.serveAnswer(ctx, conn, abort.ID, answer, 0, err)
}

func (d *Daemon) serveAnswer(ctx context.Context, conn *yuccalink.Conn, id yuccaid.RequestID, answer *Answer, from int, err error) {
	if err != nil {
		var prob *Problem
		if !errors.As(err, &prob) {
			prob = &Problem{Kind: KindUnknownState, Run: yuccaonce.Unknown}
		}
		_ = conn.Send(yuccawire.KindEnd, yuccawire.End{
			ID: id, Problem: string(prob.Kind), Detail: prob.Detail,
			Outcome: yuccaonce.Outcome{Run: prob.Run, RetryAfter: prob.Back},
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
