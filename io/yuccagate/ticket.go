package yuccagate

import (
	"context"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// ticket is a request that waits for a target or runs on one.
type ticket struct {
	pool yuccaid.Pool
	ask  yuccagrant.Ask
	// placed gets the one decision on the ask.
	placed chan placed
}

// placed is a decision on a waiting request: a target, or a refusal.
type placed struct {
	target  yuccaid.Target
	address string
	refusal *yuccagrant.Refusal
}

// acquire waits for a target. When the caller leaves meanwhile, the request is taken back.
func (gate *Gate) acquire(ctx context.Context, pool yuccaid.Pool, ask yuccagrant.Ask) (*ticket, placed, error) {
	tkt := &ticket{pool: pool, ask: ask, placed: make(chan placed, 1)}
	tkt.ask.ID = yuccagrant.ID{Owner: gate.inc, Number: gate.numbers.Add(1)}
	gate.control.Post(func(now time.Time) {
		gate.tickets[tkt.ask.ID.Number] = tkt
		gate.apply(now, pool, gate.desk(now, pool).own.Ask(now, tkt.ask))
	})
	select {
	case one := <-tkt.placed:
		return tkt, one, nil
	case <-ctx.Done():
		gate.control.Post(func(now time.Time) { gate.abandon(now, tkt) })
		return tkt, placed{}, context.Cause(ctx)
	}
}

// abandon takes back a request whose caller left before it was sent.
func (gate *Gate) abandon(now time.Time, tkt *ticket) {
	gate.apply(now, tkt.pool, gate.desk(now, tkt.pool).own.Withdraw(now, tkt.ask.ID))
	gate.end(now, tkt, yuccagrant.Ended{Outcome: yuccagrant.Dropped})
}

// begun tells of a run's first event.
func (gate *Gate) begun(tkt *ticket, took time.Duration) {
	gate.control.Post(func(now time.Time) {
		gate.apply(now, tkt.pool, gate.desk(now, tkt.pool).own.Begun(now, tkt.ask.ID, took))
	})
}

// ended gives a target's place back.
func (gate *Gate) ended(tkt *ticket, end yuccagrant.Ended) {
	gate.control.Post(func(now time.Time) { gate.end(now, tkt, end) })
}

func (gate *Gate) end(now time.Time, tkt *ticket, end yuccagrant.Ended) {
	delete(gate.tickets, tkt.ask.ID.Number)
	end.ID = tkt.ask.ID
	gate.apply(now, tkt.pool, gate.desk(now, tkt.pool).own.Ended(now, end))
}

// apply hands decisions to the requests that wait for them.
func (gate *Gate) apply(now time.Time, pool yuccaid.Pool, dec yuccagrant.Decisions) {
	for _, grant := range dec.Grants {
		tkt := gate.tickets[grant.ID.Number]
		if tkt == nil {
			continue
		}
		entry, found := gate.roster.Find(grant.Target)
		if !found {
			gate.log.belief("grant without target", "target", grant.Target)
		}
		tkt.placed <- placed{target: grant.Target, address: entry.Address}
	}
	for _, refusal := range dec.Refusals {
		if tkt := gate.tickets[refusal.ID.Number]; tkt != nil {
			delete(gate.tickets, refusal.ID.Number)
			tkt.placed <- placed{refusal: &refusal}
		}
	}
}
