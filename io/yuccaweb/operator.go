package yuccaweb

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"yuccacleat/io/yuccadaemon"
)

// Operator serves those who run the fleet, on an address of its own.
type Operator struct {
	daemon *yuccadaemon.Daemon
	echo   *echo.Echo
}

// NewOperator returns the operators' routes for a daemon.
func NewOperator(daemon *yuccadaemon.Daemon) *Operator {
	web := &Operator{daemon: daemon, echo: newEcho()}
	web.echo.GET("/healthz", web.health)
	web.echo.GET("/readyz", web.ready)
	web.echo.GET("/metrics", web.metrics)
	web.echo.GET("/v1/status", web.status)
	web.echo.GET("/v1/audit", web.audit)
	return web
}

// Handler returns the routes for an HTTP server.
func (web *Operator) Handler() http.Handler {
	return web.echo
}

// health fails only when the control goroutine no longer answers.
func (web *Operator) health(c echo.Context) error {
	web.daemon.Status()
	return c.String(http.StatusOK, "ok\n")
}

// ready tells the balancer whether to send callers here.
func (web *Operator) ready(c echo.Context) error {
	if !web.daemon.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (web *Operator) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; charset=utf-8")
	c.Response().WriteHeader(http.StatusOK)
	web.daemon.WriteMetrics(c.Response())
	return nil
}

func (web *Operator) status(c echo.Context) error {
	return c.JSON(http.StatusOK, web.daemon.Status())
}

func (web *Operator) audit(c echo.Context) error {
	return c.JSON(http.StatusOK, web.daemon.Audit())
}
