package yuccastand

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccatarget"
)

// generateOperation is the operation that generations are logged under.
const generateOperation = "generate"

func (eng *Engine) routes() {
	data := eng.router.Group("", eng.gate)
	data.POST(yuccatarget.GeneratePath, eng.serveGenerate)
	data.GET(yuccatarget.GeneratePath+"/:id", eng.serveResume)
	data.DELETE(yuccatarget.GeneratePath+"/:id", eng.serveCancel)
	data.GET(yuccatarget.LoadPath, eng.serveLoad)
	data.GET(yuccatarget.CachePath, eng.serveCache)
	data.POST(yuccatarget.OrdersPath, eng.serveOrder)
	data.GET(yuccatarget.StatePath, eng.serveState)
}

func fenceOf(c echo.Context) yuccaid.ConfigNumber {
	fence, _ := strconv.ParseUint(c.Request().Header.Get(yuccatarget.HeaderFence), 10, 64)
	return yuccaid.ConfigNumber(fence)
}

func (eng *Engine) serveGenerate(c echo.Context) error {
	id := c.Request().Header.Get(yuccatarget.HeaderRequest)
	var prompt yuccatarget.Prompt
	if err := c.Bind(&prompt); err != nil {
		return err
	}
	if over, err := eng.refused(c, id); over {
		return err
	}
	gen := eng.take(id, fenceOf(c), prompt)
	if status := eng.Faults().Status; status != 0 {
		return c.NoContent(status)
	}
	return eng.tell(c, gen, 0)
}

func (eng *Engine) serveResume(c echo.Context) error {
	eng.mu.Lock()
	gen := eng.latest[c.Param("id")]
	eng.mu.Unlock()
	if gen == nil {
		return c.NoContent(http.StatusNotFound)
	}
	from, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil || from < 0 || from > gen.pieces {
		return c.NoContent(http.StatusBadRequest)
	}
	return eng.tell(c, gen, max(from+eng.Faults().ResumeShift, 0))
}

// tell writes the answer from a position on, as it comes. The run goes on when the
// connection breaks, so that the answer can be resumed on another one.
func (eng *Engine) tell(c echo.Context, gen *generation, from int) error {
	eng.mu.Lock()
	gen.connections++
	first := gen.connections == 1
	eng.mu.Unlock()
	out := eng.newStream(c, gen.id, first)
	position := from
	for {
		eng.mu.Lock()
		emitted, ended, changed, last := gen.emitted, gen.ended, gen.changed, gen.last()
		eng.mu.Unlock()
		for ; position < emitted; position++ {
			if err := out.piece(position, gen.tokens(position), position == gen.pieces-1); err != nil {
				return streamError(err)
			}
		}
		if ended {
			return streamError(out.end(last))
		}
		out.flush()
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		case <-eng.done:
			return hangUp(c)
		}
	}
}

// streamError drops the error of a fault, which is no failure of the handler.
func streamError(err error) error {
	if errors.Is(err, errStreamOver) {
		return nil
	}
	return err
}

func (eng *Engine) serveCancel(c echo.Context) error {
	if !eng.cancel(c.Param("id")) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusNoContent)
}

// serveLoad answers with a snapshot that is made anew only when it is older than the
// lag, as the reports of real engines are.
func (eng *Engine) serveLoad(c echo.Context) error {
	faults := eng.Faults()
	lag := time.Duration(faults.LoadLagMillis) * time.Millisecond
	eng.mu.Lock()
	if time.Since(eng.loaded) >= lag {
		eng.loaded = time.Now()
		eng.load = eng.measure()
		eng.load.Leaving = faults.Leaving
	}
	load := eng.load
	load.AgeMillis = time.Since(eng.loaded).Milliseconds()
	eng.mu.Unlock()
	return c.JSON(http.StatusOK, load)
}

func (eng *Engine) measure() yuccatarget.Load {
	load := yuccatarget.Load{Waiting: len(eng.waiting), Running: len(eng.batch)}
	for _, gen := range eng.waiting {
		load.Queued += gen.prompt.PromptTokens
	}
	for _, gen := range eng.batch {
		load.Queued += yuccaid.Tokens(gen.left)
	}
	return load
}

func (eng *Engine) serveCache(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	seen := time.Now().Add(-time.Duration(eng.Faults().CacheLagMillis) * time.Millisecond)
	eng.mu.Lock()
	events := eng.events.after(after, seen)
	eng.mu.Unlock()
	return c.JSON(http.StatusOK, yuccatarget.CacheEvents{Events: events})
}

// serveOrder measures the order's expiry from its arrival: an order that a mute engine
// held past it is refused.
func (eng *Engine) serveOrder(c echo.Context) error {
	var order yuccatarget.Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	arrived, _ := c.Get(arrivedKey).(time.Time)
	remaining := time.Duration(order.ExpiresMillis) * time.Millisecond
	refusal := yuccatarget.Refusal{Ran: yuccatarget.RanNot}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	switch {
	case time.Since(arrived) >= remaining:
		refusal.Kind = yuccatarget.RefusalExpired
		return c.JSON(http.StatusConflict, refusal)
	case eng.checksFence && order.Fence < eng.state.wished.Fence:
		refusal.Kind = yuccatarget.RefusalFenced
		refusal.Fence = eng.state.wished.Fence
		return c.JSON(http.StatusConflict, refusal)
	}
	takes := time.Duration(eng.Faults().LoadMillis) * time.Millisecond
	if !eng.state.obey(order, time.Now(), takes) {
		return c.NoContent(http.StatusBadRequest)
	}
	eng.runs.order(order)
	return c.JSON(http.StatusOK, eng.state.at(time.Now(), eng.Faults().Leaving))
}

func (eng *Engine) serveState(c echo.Context) error {
	eng.mu.Lock()
	state := eng.state.at(time.Now(), eng.Faults().Leaving)
	eng.mu.Unlock()
	return c.JSON(http.StatusOK, state)
}
