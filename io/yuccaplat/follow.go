package yuccaplat

import (
	"context"
	"time"
)

const (
	// firstBackoff and lastBackoff bound the pause after a failed call. A service that
	// comes back after an outage is asked by the whole fleet: 400 daemons that pause
	// 15 to 30 seconds make some 20 calls a second, a hundredth of what it allows.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 30 * time.Second
	// spread is the longest pause after an answer. One change answers the watches of
	// the whole fleet at once; without a pause they would all be back in the same
	// millisecond. It also bounds how much later a second note is seen.
	spread = time.Second
)

// Follow watches the prefix until the context ends, and calls each with every page
// that holds something, from the beginning. Faults are told to WithFault and retried.
//
// If the service goes back to an earlier revision, for it was restored or another copy
// answers, each is told by a stale page and everything is read again: what is
// published from then on may have revisions that were seen before, and a watch after
// the higher one would never show it.
func (reader *Reader) Follow(ctx context.Context, prefix string, each func(page Page)) error {
	var after Revision
	back := backoff{}
	for ctx.Err() == nil {
		page, err := reader.Watch(ctx, prefix, after)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			reader.fault(err)
			reader.sleep(ctx, back.next(reader.random()))
			continue
		}
		if page.Stale || len(page.Entries) > 0 {
			each(page)
		}
		after = reader.settle(ctx, &back, page, after)
	}
	return ctx.Err()
}

// settle pauses as the page asks for and returns the revision to go on from. A stale
// page counts as a failure, so that two copies that answer in turn don't make the
// fleet read everything in a loop.
func (reader *Reader) settle(ctx context.Context, back *backoff, page Page, after Revision) Revision {
	if page.Stale {
		reader.sleep(ctx, back.next(reader.random()))
		return 0
	}
	next := page.next(after)
	switch {
	case page.More && next > after:
		return next
	case page.More:
		// A service that says more without giving any would be asked without end.
		reader.sleep(ctx, back.next(reader.random()))
		return next
	}
	back.failures = 0
	reader.sleep(ctx, time.Duration(reader.random()*float64(spread)))
	return next
}

// FollowVMs reads the list of VMs about every period until the context ends; each gets
// each list that could be read.
func (reader *Reader) FollowVMs(ctx context.Context, period time.Duration, each func(vms []VM)) error {
	back := backoff{}
	for ctx.Err() == nil {
		vms, err := reader.VMs(ctx)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			reader.fault(err)
			reader.sleep(ctx, max(back.next(reader.random()), half(period, reader.random())))
			continue
		}
		each(vms)
		back.failures = 0
		reader.sleep(ctx, half(period, reader.random()))
	}
	return ctx.Err()
}

// backoff doubles the pause with each failure in a row. The jitter spreads it over its
// upper half: daemons that failed together shall not come back together.
type backoff struct {
	failures int
}

func (back *backoff) next(random float64) time.Duration {
	span := min(firstBackoff<<back.failures, lastBackoff)
	if span < lastBackoff {
		back.failures++
	}
	return half(span, random)
}

// half returns a span between its half and its whole.
func half(span time.Duration, random float64) time.Duration {
	return span/2 + time.Duration(random*float64(span/2))
}
