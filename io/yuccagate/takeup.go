package yuccagate

import (
	"context"
	"strconv"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
)

// takesUp reports whether the request continues a stream that an earlier request began.
func (req *callerRequest) takesUp() bool {
	return req.route.Kind == yuccaroute.Stream && req.info.LastEventID != ""
}

// scheduleAsTakeUp changes what the scheduler is told of a request that takes a stream up. Its caller has a part of the answer, which
// is lost if the rest doesn't come. So among the requests of its tier it counts as work that goes on: it goes first, as long
// as the rest of its answer takes, and isn't refused as late while it can go on before its caller gives up.
func (req *callerRequest) scheduleAsTakeUp(request *yuccagrant.Request) {
	request.Rank = 0
	request.SoftDeadline = request.Deadline
	if delivered, err := strconv.ParseInt(req.info.LastEventID, 10, 64); err == nil && delivered > 0 && request.Answer > 0 {
		// An event has one token at least.
		request.Answer = max(request.Answer-yuccaid.Tokens(delivered), 1)
	}
}

// bindToOrigin binds a request that takes a stream up to the pool and the version that began it. It
// returns a problem if these can't be told, or if the route no longer leads to that pool.
//
// Targets don't check which version began a stream. If any target could continue it, the caller would
// get events that don't fit together.
func (req *callerRequest) bindToOrigin(ctx context.Context) *Problem {
	lookup := &originLookup{
		key:       req.streamKey(),
		pool:      req.pool,
		routeName: req.route.Name,
		route:     historicRoute(req.route),
		ownPart:   req.info.OwnPart,
		result:    make(chan originResult, 1),
	}
	began := time.Now()
	req.gate.control.Post(func(now time.Time) {
		lookup.doubted = req.info.Resumes == "" && !req.gate.origins.partsTell(now)
		lookup.onlyPool = len(req.route.Pools) == 1 && req.gate.origins.history.RouteIsOld(now, req.route.Name)
		req.gate.startLookup(now, lookup)
	})
	var res originResult
	select {
	case res = <-lookup.result:
	case <-ctx.Done():
		return req.problemUnsent(context.Cause(ctx))
	}
	if res.origin.Version != "" && !req.route.Serves(res.origin.Pool) {
		res = originResult{source: originMoved}
	}
	req.gate.metrics.takenUp(res.source)
	req.logDecision("taken up", "resumes", req.info.Resumes, "from", req.info.LastEventID,
		"origin", res.source, "version", res.origin.Version, "answered", lookup.answered, "confirmed", lookup.confirmed, "lookupMillis", time.Since(began).Milliseconds())
	if res.origin.Version == "" {
		return &Problem{Kind: KindUnresumable, Detail: "the version that began the stream: " + res.source}
	}
	req.pool = res.origin.Pool
	req.bind(res.origin.Version)
	return nil
}

// confirmVersion reports whether it is still certain which version began the request's stream.
func (req *callerRequest) confirmVersion() bool {
	if !req.bound {
		return true
	}
	gate, certain := req.gate, req.version != ""
	gate.control.Call(func(now time.Time) {
		if origin, found := gate.origins.memory.Find(now, req.streamKey()); found {
			certain = certain && origin.Version == req.version
		}
	})
	return certain
}
