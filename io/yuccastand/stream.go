package yuccastand

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccatarget"
)

// foreignID is the request that pieces of a foreign answer belong to, and otherID one
// whose hash fits neither.
const (
	foreignID = "somebody-else"
	otherID   = "nobody"
)

// errStreamOver says that a fault has ended the stream; the handler has nothing to add.
var errStreamOver = errors.New("stream ended by a fault: clear it with POST /control/faults")

// stream writes one answer to one connection and puts the faults into it.
type stream struct {
	back  *backend
	c     echo.Context
	id    string
	first bool
	lines *json.Encoder
}

// newStream begins the answer. The header leaves at once, which tells the other end
// that the run was taken before its first piece is there.
func (back *backend) newStream(c echo.Context, id string, first bool) *stream {
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, yuccatarget.ContentStream)
	header.Set(yuccatarget.HeaderRequest, id)
	if back.Faults().Unframed {
		// The server takes this for: the connection's close ends the body.
		header.Set("Transfer-Encoding", "identity")
	}
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	return &stream{back: back, c: c, id: id, first: first, lines: json.NewEncoder(c.Response())}
}

func (out *stream) flush() {
	out.c.Response().Flush()
}

// interrupt applies the faults that stop a stream before a position.
func (out *stream) interrupt(faults Faults, position int) error {
	silent := faults.SilentAfterPieces > 0 && position >= faults.SilentAfterPieces
	if faults.Dead == DeathMute || silent && (out.first || !faults.SilentOnce) {
		out.flush()
		_ = out.back.silence(out.c)
		return errStreamOver
	}
	if faults.CutAfterPieces > 0 && position >= faults.CutAfterPieces && out.first {
		out.flush()
		_ = hangUp(out.c)
		return errStreamOver
	}
	return nil
}

// piece writes the piece at a position; last says that none follows.
func (out *stream) piece(position int, tokens yuccaid.Tokens, last bool) error {
	faults := out.back.Faults()
	if err := out.interrupt(faults, position); err != nil {
		return err
	}
	if faults.Truncate && last || faults.SkipPiece && position == 1 {
		return nil
	}
	line := yuccatarget.Line{ID: out.id, Position: position, Tokens: tokens, Data: AnswerPiece(out.id, position)}
	if faults.Foreign && position > 0 {
		line.ID = foreignID
		line.Data = AnswerPiece(foreignID, position)
	}
	if faults.WrongText {
		line.Data = AnswerPiece(foreignID, position)
	}
	if faults.Garble && position > 0 {
		_, err := out.c.Response().Write([]byte("{\"id\":\x00\n"))
		return err
	}
	if err := out.lines.Encode(line); err != nil {
		return err
	}
	if faults.DuplicatePieces {
		return out.lines.Encode(line)
	}
	return nil
}

// end writes the last line, from which the other end tells a whole answer.
func (out *stream) end(line yuccatarget.Line) error {
	faults := out.back.Faults()
	if err := out.interrupt(faults, line.Pieces); err != nil {
		return err
	}
	if faults.Unfinished {
		return nil
	}
	line.ID = out.id
	line.End = true
	line.Hash = AnswerHash(out.id, line.Pieces)
	if faults.WrongHash {
		line.Hash = AnswerHash(otherID, line.Pieces)
	}
	if err := out.lines.Encode(line); err != nil {
		return err
	}
	out.flush()
	return nil
}
