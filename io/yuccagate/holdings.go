package yuccagate

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"golang.org/x/sync/errgroup"

	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccastream"
)

// maxHoldingsBytes bounds the length of a target's list of kept parts that is read.
const maxHoldingsBytes = 256 << 10

// errUnreadableHoldings says that what a target told of the parts that it keeps can't be read.
var errUnreadableHoldings = errors.New("the list of kept parts can't be read")

// registeredOrigin returns the pool and version of a target, as it registered.
func registeredOrigin(entry yuccaroster.Entry) yuccastream.Origin {
	return yuccastream.Origin{Pool: entry.Pool, Version: entry.StreamVersion()}
}

// listHoldings asks targets which parts of prompts they keep.
func (gate *Gate) listHoldings(entries []yuccaroster.Entry) yuccastream.Findings {
	found := yuccastream.Findings{Held: make(map[yuccastream.PartKey][]yuccastream.Holding), Silent: make(map[yuccastream.Origin]bool)}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(surveyedAtOnce)
	for _, entry := range entries {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(gate.traffic, surveyTargetTimeout)
			defer cancel()
			kept, err := gate.keptParts(ctx, entry)
			origin := gate.originOf(ctx, entry, len(kept) > 0)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, syscall.ECONNREFUSED):
				// Its process has ended, and what it kept with it.
			case err != nil:
				found.Silent[registeredOrigin(entry)] = true
			}
			for _, one := range kept {
				found.Held[one.Part] = append(found.Held[one.Part], yuccastream.Holding{Origin: origin, Tokens: one.Tokens})
			}
			return nil
		})
	}
	_ = group.Wait()
	return found
}

// keptParts asks a target which parts of prompts it keeps.
func (gate *Gate) keptParts(ctx context.Context, entry yuccaroster.Entry) ([]KeptPart, error) {
	list, err := gate.askTarget(ctx, entry.Address, gate.dialect.HoldingsPath, maxHoldingsBytes)
	if err != nil {
		return nil, err
	}
	kept, ok := gate.dialect.ReadHoldings(list)
	if !ok {
		return nil, errUnreadableHoldings
	}
	return kept, nil
}

// originOf returns the pool and version of a target that has just said what it keeps. The target is asked when it
// started: if it has restarted under its id, or another one has got its address, its version isn't known.
func (gate *Gate) originOf(ctx context.Context, entry yuccaroster.Entry, keepsAny bool) yuccastream.Origin {
	origin := registeredOrigin(entry)
	if !keepsAny || entry.StartMillis == 0 || gate.dialect.StatusPath == "" {
		return origin
	}
	status, err := gate.askTarget(ctx, entry.Address, gate.dialect.StatusPath, maxStatusBytes)
	if err != nil {
		return yuccastream.Origin{Pool: entry.Pool}
	}
	if startMillis, found := gate.dialect.ReadStart(status); !found || startMillis != entry.StartMillis {
		return yuccastream.Origin{Pool: entry.Pool}
	}
	return origin
}
