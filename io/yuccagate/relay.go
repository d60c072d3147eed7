package yuccagate

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaroute"
)

// pieceBytes is how much of an answer is handed on at a time.
const pieceBytes = 16 << 10

// relay hands a target's answer to the caller, byte for byte. Once its head is on the way
// no other answer can take its place: if it breaks off, the caller's connection is closed,
// so that a part never passes for the whole.
func (req *request) relay(ctx context.Context, att *attempt) *Problem {
	header := req.w.Header()
	for name, values := range onwardHeader(att.answer.Header) {
		header[name] = values
	}
	if att.answer.Length >= 0 {
		header["Content-Length"] = att.answer.Header["Content-Length"]
	}
	end := yuccagrant.Ended{Load: att.word.Load}
	var err error
	if req.streams(att) {
		err = req.relayEvents(ctx, att, &end)
	} else {
		err = req.relayBody(att, &end)
	}
	end.Outcome = req.outcome(ctx, att, err)
	att.answer.Close()
	req.gate.ended(att.tkt, end)
	req.gate.log.request(req.caller.ID, "answered", "status", att.answer.Status, "outcome", end.Outcome.String(),
		"firstMillis", end.First.Milliseconds(), "events", end.Events, "pauseMillis", end.Pause.Milliseconds(),
		"afterMillis", time.Since(req.arrived).Milliseconds(), "error", text(err))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (req *request) streams(att *attempt) bool {
	kind := att.answer.Header.Get("Content-Type")
	return req.route.Kind == yuccaroute.Stream && strings.HasPrefix(kind, "text/event-stream")
}

func (req *request) outcome(ctx context.Context, att *attempt, err error) yuccagrant.Outcome {
	switch {
	case ctx.Err() != nil:
		return yuccagrant.Dropped
	case err != nil:
		return yuccagrant.Broken
	case att.answer.Status >= http.StatusInternalServerError:
		return yuccagrant.Failed
	}
	return yuccagrant.Served
}

func (req *request) relayBody(att *attempt, end *yuccagrant.Ended) error {
	end.First = time.Since(att.sent)
	req.w.WriteHeader(att.answer.Status)
	piece := make([]byte, pieceBytes)
	for {
		got, err := att.answer.Read(piece)
		if got > 0 {
			if _, failed := req.w.Write(piece[:got]); failed != nil {
				return failed
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayEvents hands on a stream, each event as soon as it is whole.
func (req *request) relayEvents(_ context.Context, att *attempt, end *yuccagrant.Ended) error {
	control := http.NewResponseController(req.w)
	stream := newEvents(att.answer)
	var first, last time.Time
	for {
		list, err := stream.next()
		now := time.Now()
		if first.IsZero() {
			first, last = now, now
			end.First = now.Sub(att.sent)
			req.w.WriteHeader(att.answer.Status)
			req.gate.begun(att.tkt, end.First, att.word.Load)
		}
		for _, one := range list {
			if _, failed := req.w.Write(one.raw); failed != nil {
				return failed
			}
		}
		if len(list) > 0 {
			if failed := control.Flush(); failed != nil {
				return failed
			}
			end.Events += len(list)
			end.Pause = max(end.Pause, now.Sub(last))
			end.Span = now.Sub(first)
			last = now
		}
		if err == io.EOF {
			_, failed := req.w.Write(stream.rest())
			return failed
		}
		if err != nil {
			return err
		}
	}
}
