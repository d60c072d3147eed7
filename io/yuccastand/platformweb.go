package yuccastand

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// Page is the answer to a watch.
type Page struct {
	// Revision is the service's own; if there are more entries, the next page is the one
	// after the last entry's.
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
	More     bool    `json:"more"`
}

// VMPage is the answer to a read of the list of VMs.
type VMPage struct {
	VMs []VMEntry `json:"vms"`
}

func (plat *Platform) routes() {
	plat.router.GET("/v1/keys", plat.serveWatch, plat.counted(func(c *Counts) { c.Watches++ }))
	plat.router.GET("/v1/keys/*", plat.serveGet, plat.counted(func(c *Counts) { c.Gets++ }))
	plat.router.GET("/v1/vms", plat.serveVMs, plat.counted(func(c *Counts) { c.Lists++ }))
	plat.router.PUT("/control/keys/*", plat.servePut)
	plat.router.DELETE("/control/keys/*", plat.serveRemove)
	plat.router.PUT("/control/vms", plat.servePutVMs)
	plat.router.POST("/control/faults", plat.serveFaults)
	plat.router.GET("/control/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, plat.Counts()) })
}

// counted counts a call and answers for a service that is down or over its rate.
func (plat *Platform) counted(count func(*Counts)) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			plat.mu.Lock()
			plat.counts.Calls++
			count(&plat.counts)
			down, mute := plat.faults.Down, plat.faults.Mute
			limited := !down && !mute && !plat.limiter.Allow()
			if down {
				plat.counts.Down++
			}
			if limited {
				plat.counts.Limited++
			}
			plat.mu.Unlock()
			switch {
			case down:
				return hangUp(c)
			case limited:
				return c.NoContent(http.StatusTooManyRequests)
			case mute:
				return plat.mute(c)
			}
			return next(c)
		}
	}
}

// mute counts a call that stays without an answer.
func (plat *Platform) mute(c echo.Context) error {
	plat.mu.Lock()
	plat.counts.Silent++
	plat.mu.Unlock()
	return plat.silence(c)
}

func (plat *Platform) serveWatch(c echo.Context) error {
	prefix := c.QueryParam("prefix")
	after := number(c.QueryParam("after"))
	wait := min(time.Duration(number(c.QueryParam("waitMillis")))*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	plat.mu.Lock()
	plat.counts.Waiting++
	plat.mu.Unlock()
	defer func() {
		plat.mu.Lock()
		plat.counts.Waiting--
		plat.mu.Unlock()
	}()
	for over := wait <= 0; ; {
		found, changed, faults := plat.read(prefix, after)
		switch {
		case faults.Down:
			return hangUp(c)
		case faults.Mute:
			return plat.mute(c)
		case over || len(found.Entries) > 0:
			return c.JSON(http.StatusOK, found)
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-c.Request().Context().Done():
			return nil
		case <-plat.done:
			return hangUp(c)
		}
	}
}

// read returns the page after a revision and what tells of the next change.
func (plat *Platform) read(prefix string, after int64) (found Page, changed <-chan struct{}, faults PlatformFaults) {
	plat.mu.Lock()
	defer plat.mu.Unlock()
	revision := plat.served()
	entries, more := page(plat.store.asOf(revision, prefix), after, MaxValue)
	return Page{Revision: revision, Entries: entries, More: more}, plat.changed, plat.faults
}

func (plat *Platform) serveGet(c echo.Context) error {
	key := c.Param("*")
	plat.mu.Lock()
	entries := plat.store.asOf(plat.served(), key)
	plat.mu.Unlock()
	for _, entry := range entries {
		if entry.Key == key {
			c.Response().Header().Set(headerRevision, strconv.FormatInt(entry.Revision, 10))
			return c.Blob(http.StatusOK, echo.MIMEOctetStream, entry.Value)
		}
	}
	return c.NoContent(http.StatusNotFound)
}

func (plat *Platform) serveVMs(c echo.Context) error {
	plat.mu.Lock()
	vms := plat.listed(time.Now())
	plat.mu.Unlock()
	return c.JSON(http.StatusOK, VMPage{VMs: vms})
}

func (plat *Platform) servePut(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, MaxValue+1))
	if err != nil {
		return err
	}
	revision, err := plat.Put(c.Param("*"), value)
	var large *TooLargeError
	if errors.As(err, &large) {
		return c.String(http.StatusRequestEntityTooLarge, large.Error())
	}
	c.Response().Header().Set(headerRevision, strconv.FormatInt(revision, 10))
	return c.NoContent(http.StatusNoContent)
}

func (plat *Platform) serveRemove(c echo.Context) error {
	plat.Remove(c.Param("*"))
	return c.NoContent(http.StatusNoContent)
}

func (plat *Platform) servePutVMs(c echo.Context) error {
	var list VMPage
	if err := c.Bind(&list); err != nil {
		return err
	}
	for _, vm := range list.VMs {
		if vm.State != vmLive && vm.State != vmLeaving {
			return c.String(http.StatusBadRequest, "state must be live or leaving")
		}
	}
	plat.SetVMs(list.VMs)
	return c.NoContent(http.StatusNoContent)
}

func (plat *Platform) serveFaults(c echo.Context) error {
	var faults PlatformFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	plat.SetFaults(faults)
	return c.JSON(http.StatusOK, faults)
}

// number reads a query's count; what is no number counts as 0.
func number(text string) int64 {
	n, _ := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	return n
}
