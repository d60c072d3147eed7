package yuccaweb

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccadaemon"
)

// Failure is the body of every error answer.
type Failure struct {
	Error Detail `json:"error"`
}

// Detail says what went wrong, what to do, and whether the request ran.
type Detail struct {
	Kind             yuccadaemon.Kind `json:"kind"`
	Message          string           `json:"message"`
	Remedy           string           `json:"remedy"`
	Run              yuccaonce.Run    `json:"run"`
	Reason           yuccaonce.Reason `json:"reason,omitempty"`
	RetryAfterMillis int64            `json:"retryAfterMillis,omitempty"`
}

var statuses = map[yuccadaemon.Kind]int{
	yuccadaemon.KindMalformed:    http.StatusBadRequest,
	yuccadaemon.KindTooLarge:     http.StatusRequestEntityTooLarge,
	yuccadaemon.KindCredential:   http.StatusUnauthorized,
	yuccadaemon.KindUnknownID:    http.StatusNotFound,
	yuccadaemon.KindUnknownPool:  http.StatusBadRequest,
	yuccadaemon.KindUnknownTier:  http.StatusBadRequest,
	yuccadaemon.KindUnknownOp:    http.StatusBadRequest,
	yuccadaemon.KindDeadline:     http.StatusBadRequest,
	yuccadaemon.KindConflict:     http.StatusConflict,
	yuccadaemon.KindExpired:      http.StatusGone,
	yuccadaemon.KindNotReady:     http.StatusServiceUnavailable,
	yuccadaemon.KindLeaving:      http.StatusServiceUnavailable,
	yuccadaemon.KindOwnerLost:    http.StatusBadGateway,
	yuccadaemon.KindBusy:         http.StatusTooManyRequests,
	yuccadaemon.KindRefused:      http.StatusServiceUnavailable,
	yuccadaemon.KindAnswerGone:   http.StatusGone,
	yuccadaemon.KindUnknownState: http.StatusBadGateway,
}

// refused is an outcome that is told as an error.
type refused struct {
	outcome yuccaonce.Outcome
}

func (ref *refused) Error() string {
	return string(ref.outcome.Reason)
}

func refusalOf(outcome yuccaonce.Outcome) error {
	return &refused{outcome: outcome}
}

func newEcho() *echo.Echo {
	server := echo.New()
	server.HideBanner = true
	server.HidePort = true
	server.HTTPErrorHandler = writeError
	return server
}

// writeError answers every failure in one form. Where nothing else is known the run
// is unknown, since claiming less could make a caller run something twice.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, detail := describe(err)
	if detail.RetryAfterMillis > 0 {
		seconds := math.Ceil((time.Duration(detail.RetryAfterMillis) * time.Millisecond).Seconds())
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	_ = c.JSON(status, Failure{Error: detail})
}

func describe(err error) (int, Detail) {
	var prob *yuccadaemon.Problem
	var ref *refused
	var plain *echo.HTTPError
	switch {
	case errors.As(err, &prob):
		return statuses[prob.Kind], Detail{
			Kind: prob.Kind, Message: prob.Error(), Remedy: prob.Remedy(), Run: prob.Run,
			RetryAfterMillis: prob.Back.Milliseconds(),
		}
	case errors.As(err, &ref):
		return describeOutcome(ref.outcome)
	case errors.As(err, &plain):
		return plain.Code, Detail{Kind: yuccadaemon.KindMalformed, Message: http.StatusText(plain.Code), Remedy: "use a route that the README names", Run: yuccaonce.Unknown}
	}
	return http.StatusInternalServerError, Detail{Kind: yuccadaemon.KindUnknownState, Message: err.Error(), Remedy: "ask for the request's outcome", Run: yuccaonce.Unknown}
}

func describeOutcome(outcome yuccaonce.Outcome) (int, Detail) {
	kind := yuccadaemon.KindRefused
	status := http.StatusServiceUnavailable
	if outcome.Run == yuccaonce.Unknown {
		kind = yuccadaemon.KindUnknownState
		status = http.StatusBadGateway
	}
	prob := &yuccadaemon.Problem{Kind: kind, Detail: string(outcome.Reason)}
	return status, Detail{
		Kind: kind, Message: prob.Error(), Remedy: prob.Remedy(), Run: outcome.Run, Reason: outcome.Reason,
		RetryAfterMillis: outcome.RetryAfter.Milliseconds(),
	}
}
