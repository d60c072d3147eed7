package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// mayServe reports whether a request may be sent to the target: it hasn't failed there, and the target
// is of the request's version if that matters.
func (tgt *targetState) mayServe(req *Request) bool {
	return (req.Version == "" || req.Version == tgt.Version) && !tgt.failedBefore(req)
}

// withoutVersion reports whether there are targets, but none of the version that the request needs.
// While there are no targets at all, those of its version may be about to come.
func (lead *Leader) withoutVersion(req *Request) bool {
	return req.Version != "" && len(lead.targets) > 0 && !lead.versions[req.Version]
}

// refuseWithoutVersion refuses the waiting requests whose version has left. Their callers would
// otherwise wait in vain until their deadlines.
func (lead *Leader) refuseWithoutVersion(now time.Time, dec *Decisions) {
	var left []*queueEntry
	for _, entry := range lead.queue.byID {
		if lead.withoutVersion(&entry.Request) {
			left = append(left, entry)
		}
	}
	lead.refuseAll(now, left, ReasonNoVersion, dec)
}

// misses counts the waiting requests that got no target, by the version that they need. If those that
// need a version counted like the others, a few that wait for the full targets of their version would
// keep the free targets of other versions idle.
type misses struct {
	// unbound counts the requests that any target may serve.
	unbound   int
	byVersion map[yuccaid.Version]int
}

// enough reports whether further requests of a version would find no target either.
func (mss *misses) enough(version yuccaid.Version) bool {
	if version == "" {
		return mss.unbound >= maxMisses
	}
	return mss.byVersion[version] >= maxMisses
}

func (mss *misses) count(version yuccaid.Version) {
	if version == "" {
		mss.unbound++
		return
	}
	if mss.byVersion == nil {
		mss.byVersion = make(map[yuccaid.Version]int, 1)
	}
	mss.byVersion[version]++
}
