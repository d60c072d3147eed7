package yuccastand

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"yuccacleat/io/yuccatarget"
)

// Death says how a stand-in fails to answer at all.
type Death string

// Ways of not answering.
const (
	// DeathRefuse closes the port.
	DeathRefuse Death = "refuse"
	// DeathMute takes connections and requests and never answers, but for the
	// control side.
	DeathMute Death = "mute"
)

// arrivedKey holds the time at which a request reached the stand-in.
const arrivedKey = "arrived"

// Faults are the switches of an engine or a plain service; the zero value has none.
type Faults struct {
	// SlowFactor stretches all work; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// SilentAfterPieces stops writing after so many pieces and keeps the connection
	// open; SilentOnce confines it to the first connection of each run.
	SilentAfterPieces int  `json:"silentAfterPieces"`
	SilentOnce        bool `json:"silentOnce"`
	// CutAfterPieces closes the first connection of each run after so many pieces.
	CutAfterPieces int `json:"cutAfterPieces"`
	// ResumeShift makes a resumed answer begin so many pieces behind the one asked for,
	// or before it if negative.
	ResumeShift int `json:"resumeShift"`
	// Unfinished ends the answer without its last line, on every connection.
	Unfinished bool `json:"unfinished"`
	// Unframed answers with neither a length nor chunks, so that answers end with their
	// connection.
	Unframed bool  `json:"unframed"`
	Dead     Death `json:"dead"`
	// Swallow takes calls and orders, never answers them and never runs them, while reads
	// work, as when something between has lost track of the connection.
	Swallow bool `json:"swallow"`
	// DeadMillis opens a closed port again; 0 leaves it closed until SetFaults.
	DeadMillis int64 `json:"deadMillis"`
	// Leaving refuses new work as a target that leaves.
	Leaving bool `json:"leaving"`
	// Refuse refuses new work as an overloaded target, with BackMillis as the hint.
	Refuse     bool  `json:"refuse"`
	BackMillis int64 `json:"backMillis"`
	// Status runs the work and answers with a bare status instead of the answer, as
	// something between the two ends does that gave up waiting.
	Status int `json:"status"`
	// DuplicatePieces sends each piece twice.
	DuplicatePieces bool `json:"duplicatePieces"`
	// SkipPiece leaves out the second piece.
	SkipPiece bool `json:"skipPiece"`
	// Truncate leaves out the last piece and still ends as if it were whole.
	Truncate bool `json:"truncate"`
	// Foreign sends pieces of another request.
	Foreign bool `json:"foreign"`
	// WrongHash ends with a hash that doesn't fit.
	WrongHash bool `json:"wrongHash"`
	// WrongText changes a piece's text.
	WrongText bool `json:"wrongText"`
	// Garble writes a line that isn't JSON.
	Garble bool `json:"garble"`
	// LoadMillis is how long an order takes until it is in effect.
	LoadMillis int64 `json:"loadMillis"`
	// CacheLagMillis holds cache events back; CacheGapEvery drops each n-th.
	CacheLagMillis int64 `json:"cacheLagMillis"`
	CacheGapEvery  int   `json:"cacheGapEvery"`
	// LoadLagMillis is how long a load report is served before a new one is made.
	LoadLagMillis int64 `json:"loadLagMillis"`
}

func (f Faults) slow() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}

// backend is what engines and plain services share: faults, the log of what ran, and
// the control side.
type backend struct {
	*host
	runs *runLog

	faultsMu sync.Mutex
	faults   Faults
	changed  chan struct{}
}

func newBackend(listener net.Listener) *backend {
	back := &backend{
		host:    newHost(listener),
		runs:    newRunLog(),
		changed: make(chan struct{}),
	}
	back.router.GET("/control/runs", back.serveRuns)
	back.router.GET("/control/orders", func(c echo.Context) error { return c.JSON(http.StatusOK, back.Orders()) })
	back.router.GET("/control/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, back.Faults()) })
	back.router.POST("/control/faults", back.serveFaults)
	return back
}

// Faults returns the switches as they are.
func (back *backend) Faults() Faults {
	back.faultsMu.Lock()
	defer back.faultsMu.Unlock()
	return back.faults
}

// SetFaults replaces all switches.
func (back *backend) SetFaults(faults Faults) {
	back.setFaults(faults, nil)
}

// Runs returns what really ran, in the order of arrival.
func (back *backend) Runs() []Run {
	return back.runs.list()
}

// Orders returns the orders that were carried out, in that order.
func (back *backend) Orders() []yuccatarget.Order {
	return back.runs.obeyed()
}

func (back *backend) setFaults(faults Faults, spare net.Conn) {
	back.faultsMu.Lock()
	back.faults = faults
	close(back.changed)
	back.changed = make(chan struct{})
	back.faultsMu.Unlock()
	if faults.Dead != DeathRefuse {
		back.reopen()
		return
	}
	back.shut(spare)
	if faults.DeadMillis > 0 {
		time.AfterFunc(time.Duration(faults.DeadMillis)*time.Millisecond, func() { back.revive(faults) })
	}
}

// revive opens the port again, unless the switches have been set anew meanwhile.
func (back *backend) revive(faults Faults) {
	if back.Faults() != faults {
		return
	}
	faults.Dead = ""
	back.SetFaults(faults)
}

func (back *backend) serveFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	spare, _ := c.Request().Context().Value(connKey{}).(net.Conn)
	c.Response().Header().Set("Connection", "close")
	back.setFaults(faults, spare)
	return c.JSON(http.StatusOK, faults)
}

func (back *backend) serveRuns(c echo.Context) error {
	return c.JSON(http.StatusOK, back.Runs())
}

// muted waits while the stand-in is mute; it reports false once the caller is gone.
func (back *backend) muted(c echo.Context) bool {
	for {
		back.faultsMu.Lock()
		mute, changed := back.faults.Dead == DeathMute, back.changed
		back.faultsMu.Unlock()
		if !mute {
			return c.Request().Context().Err() == nil
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return false
		case <-back.done:
			return false
		}
	}
}

// gate wraps the handlers of the data side, which a mute stand-in never answers.
func (back *backend) gate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Set(arrivedKey, time.Now())
		if !back.muted(c) {
			return hangUp(c)
		}
		if back.Faults().Swallow && c.Request().Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, c.Request().Body)
			return back.silence(c)
		}
		return next(c)
	}
}

// refused answers for a stand-in that takes no work now; nothing has run then.
func (back *backend) refused(c echo.Context, id string) (bool, error) {
	faults := back.Faults()
	refusal := yuccatarget.Refusal{ID: id, Ran: yuccatarget.RanNot, BackMillis: faults.BackMillis}
	switch {
	case faults.Leaving:
		refusal.Kind = yuccatarget.RefusalLeaving
	case faults.Refuse:
		refusal.Kind = yuccatarget.RefusalRefused
	default:
		return false, nil
	}
	return true, c.JSON(http.StatusServiceUnavailable, refusal)
}
