package yuccaweb

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccadaemon"
)

const (
	// HeaderRequest carries the id of a request that the one-call form opened.
	HeaderRequest = "X-Request-Id"
	contentLines  = "application/x-ndjson"
	// bodyTimeout lets a megabyte through on a slow line.
	bodyTimeout = 30 * time.Second
)

// Caller serves those who have requests.
type Caller struct {
	daemon *yuccadaemon.Daemon
	echo   *echo.Echo
}

// NewCaller returns the callers' routes for a daemon.
func NewCaller(daemon *yuccadaemon.Daemon) *Caller {
	web := &Caller{daemon: daemon, echo: newEcho()}
	web.echo.POST("/v1/requests", web.with(web.open))
	web.echo.POST("/v1/requests/:id", web.with(web.submit))
	web.echo.GET("/v1/requests/:id", web.with(web.outcome))
	web.echo.GET("/v1/requests/:id/answer", web.with(web.answer))
	web.echo.DELETE("/v1/requests/:id", web.with(web.abort))
	web.echo.POST("/v1/run", web.with(web.run))
	return web
}

// Handler returns the routes for an HTTP server.
func (web *Caller) Handler() http.Handler {
	return web.echo
}

// with finds the account before a route is served.
func (web *Caller) with(serve func(c echo.Context, acc yuccaid.Account) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		acc, err := web.account(c)
		if err != nil {
			return err
		}
		return serve(c, acc)
	}
}

// Opened is what opening a request returns.
type Opened struct {
	ID yuccaid.RequestID `json:"id"`
}

func (web *Caller) open(c echo.Context, acc yuccaid.Account) error {
	id, err := web.daemon.Open(acc)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, Opened{ID: id})
}

func (web *Caller) submit(c echo.Context, acc yuccaid.Account) error {
	req, err := web.readRequest(c)
	if err != nil {
		return err
	}
	answer, err := web.daemon.Submit(c.Request().Context(), web.id(c), acc, req)
	if err != nil {
		return err
	}
	return stream(c, answer, 0)
}

func (web *Caller) run(c echo.Context, acc yuccaid.Account) error {
	req, err := web.readRequest(c)
	if err != nil {
		return err
	}
	id, err := web.daemon.Open(acc)
	if err != nil {
		return err
	}
	c.Response().Header().Set(HeaderRequest, string(id))
	answer, err := web.daemon.Submit(c.Request().Context(), id, acc, req)
	if err != nil {
		return err
	}
	return stream(c, answer, 0)
}

func (web *Caller) answer(c echo.Context, acc yuccaid.Account) error {
	from, err := position(c)
	if err != nil {
		return err
	}
	answer, err := web.daemon.Follow(c.Request().Context(), web.id(c), acc, from)
	if err != nil {
		return err
	}
	return stream(c, answer, from)
}

func (web *Caller) outcome(c echo.Context, acc yuccaid.Account) error {
	outcome, err := web.daemon.Outcome(c.Request().Context(), web.id(c), acc)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, endOf(web.id(c), outcome))
}

func (web *Caller) abort(c echo.Context, acc yuccaid.Account) error {
	outcome, err := web.daemon.Abort(c.Request().Context(), web.id(c), acc)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, endOf(web.id(c), outcome))
}

func (web *Caller) id(c echo.Context) yuccaid.RequestID {
	return yuccaid.RequestID(c.Param("id"))
}

// unseen is what may be said of a call before its request's owner has seen it. One that
// names an id may be about a request that has run, and then not run would be a lie.
func unseen(c echo.Context) yuccaonce.Run {
	if c.Param("id") != "" {
		return yuccaonce.Unknown
	}
	return yuccaonce.NotRun
}

// account finds who calls by the secret; only its digest stands in the configuration.
func (web *Caller) account(c echo.Context) (yuccaid.Account, error) {
	secret, bearer := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !bearer {
		return "", &yuccadaemon.Problem{Kind: yuccadaemon.KindCredential, Run: unseen(c)}
	}
	acc, known := web.daemon.State().AccountOf(secret)
	if !known && !web.daemon.Ready() {
		return "", &yuccadaemon.Problem{Kind: yuccadaemon.KindNotReady, Run: unseen(c)}
	}
	if !known {
		return "", &yuccadaemon.Problem{Kind: yuccadaemon.KindCredential, Run: unseen(c)}
	}
	return acc, nil
}

// readRequest refuses what is not exactly one request; nothing has run by then.
func (web *Caller) readRequest(c echo.Context) (yuccadaemon.Request, error) {
	// A caller that stops in the middle of its body would hold a connection for ever.
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(bodyTimeout))
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, int64(web.daemon.BodyLimit()))
	req, err := decodeRequest(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return req, &yuccadaemon.Problem{Kind: yuccadaemon.KindTooLarge, Run: unseen(c)}
	}
	if err != nil {
		return req, &yuccadaemon.Problem{Kind: yuccadaemon.KindMalformed, Detail: err.Error(), Run: unseen(c)}
	}
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	return req, nil
}

// errTrailing says that a body goes on after its request.
var errTrailing = errors.New("more than one value")

func decodeRequest(body io.Reader) (yuccadaemon.Request, error) {
	var req yuccadaemon.Request
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return req, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return req, errTrailing
	}
	return req, nil
}

func position(c echo.Context) (int, error) {
	text := c.QueryParam("from")
	if text == "" {
		return 0, nil
	}
	from, err := strconv.Atoi(text)
	if err != nil || from < 0 {
		return 0, &yuccadaemon.Problem{Kind: yuccadaemon.KindMalformed, Detail: "from is not a position", Run: yuccaonce.Unknown}
	}
	return from, nil
}

// stream writes the answer's pieces as they come and marks the end. A request that
// ended without a piece is answered as an error, with a status a program can test.
func stream(c echo.Context, answer *yuccadaemon.Answer, from int) error {
	answer.Join()
	told := false
	defer func() { answer.Leave(told) }()
	ctx := c.Request().Context()
	pieces, outcome, err := answer.Next(ctx, from)
	if err != nil {
		return nil
	}
	c.Response().Header().Set(HeaderRequest, string(answer.ID()))
	if outcome != nil && outcome.Run != yuccaonce.Ran {
		told = true
		return refusalOf(*outcome)
	}
	c.Response().Header().Set(echo.HeaderContentType, contentLines)
	c.Response().WriteHeader(http.StatusOK)
	told = copyLines(ctx, c, answer, from, pieces, outcome)
	return nil
}

// copyLines follows an answer to its end and reports whether the caller got the end.
func copyLines(ctx context.Context, c echo.Context, answer *yuccadaemon.Answer, from int, pieces []yuccadaemon.Piece, outcome *yuccaonce.Outcome) bool {
	lines := newLineWriter(c)
	for {
		for _, piece := range pieces {
			if lines.write(Line{ID: answer.ID(), Position: piece.Position, Data: string(piece.Data)}) != nil {
				return false
			}
		}
		from += len(pieces)
		if outcome != nil {
			return lines.write(endOf(answer.ID(), *outcome)) == nil
		}
		c.Response().Flush()
		var err error
		pieces, outcome, err = nextOrKeepAlive(ctx, lines, answer, from)
		if err != nil {
			return false
		}
	}
}

// nextOrKeepAlive waits for more of an answer and meanwhile writes empty lines.
func nextOrKeepAlive(ctx context.Context, lines *lineWriter, answer *yuccadaemon.Answer, from int) ([]yuccadaemon.Piece, *yuccaonce.Outcome, error) {
	for {
		waiting, stop := context.WithTimeout(ctx, keepAliveEvery)
		pieces, outcome, err := answer.Next(waiting, from)
		stop()
		if err == nil || ctx.Err() != nil {
			return pieces, outcome, err
		}
		if err := lines.keepAlive(); err != nil {
			return nil, nil, err
		}
	}
}
