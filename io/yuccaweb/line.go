package yuccaweb

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

// Line is one piece of an answer.
type Line struct {
	ID       yuccaid.RequestID `json:"id"`
	Position int               `json:"position"`
	Data     string            `json:"data"`
}

// End is the last line of an answer, and what asking for an outcome returns.
//
// Pieces and Hash let a caller see that nothing is missing: the hash is the SHA-256
// of all pieces' data.
type End struct {
	ID      yuccaid.RequestID `json:"id"`
	End     bool              `json:"end"`
	Run     yuccaonce.Run     `json:"run"`
	Reason  yuccaonce.Reason  `json:"reason,omitempty"`
	Partial bool              `json:"partial,omitempty"`
	Pieces  int               `json:"pieces"`
	Hash    string            `json:"hash,omitempty"`
	// RetryAfterMillis is when a new request makes sense; zero says nothing.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

func endOf(id yuccaid.RequestID, outcome yuccaonce.Outcome) End {
	return End{
		ID: id, End: outcome.Run != yuccaonce.RunWaiting && outcome.Run != yuccaonce.RunRunning,
		Run: outcome.Run, Reason: outcome.Reason, Partial: outcome.Partial,
		Pieces: outcome.Pieces, Hash: outcome.Hash, RetryAfterMillis: outcome.RetryAfter.Milliseconds(),
	}
}

const (
	// keepAliveEvery spaces empty lines while an answer pauses. What stands between the
	// two ends forgets connections that are idle for a minute or so.
	keepAliveEvery = 10 * time.Second
	// writeTimeout ends the connection of a caller that has gone silent: its answer
	// would hold memory, and its run an engine, for as long as the connection stands.
	writeTimeout = 30 * time.Second
)

// lineWriter writes JSON lines, each within the write timeout.
type lineWriter struct {
	response *echo.Response
	control  *http.ResponseController
	encoder  *json.Encoder
}

func newLineWriter(c echo.Context) *lineWriter {
	response := c.Response()
	return &lineWriter{response: response, control: http.NewResponseController(response), encoder: json.NewEncoder(response)}
}

func (lines *lineWriter) write(line any) error {
	_ = lines.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return lines.encoder.Encode(line)
}

// keepAlive writes an empty line, which callers pass over.
func (lines *lineWriter) keepAlive() error {
	_ = lines.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := lines.response.Write([]byte("\n")); err != nil {
		return err
	}
	return lines.control.Flush()
}
