package yuccagate

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
)

// excludedTexts caches the log texts of excludedTargets for one version of the roster, because many requests may
// be refused at once for the same reasons.
type excludedTexts struct {
	rosterVersion uint64
	texts         map[excludedKey]string
}

type excludedKey struct {
	pool yuccaid.Pool
	lim  yuccaallow.Limits
}

// excludedTargets returns how many targets of its pool a placement may not use, by reason, as a text for the
// log. Targets on which the request has failed aren't counted.
func (gate *Gate) excludedTargets(plc *placement) string {
	if version := gate.roster.Version(); gate.exclusions.texts == nil || gate.exclusions.rosterVersion != version {
		gate.exclusions = excludedTexts{rosterVersion: version, texts: make(map[excludedKey]string)}
	}
	key := excludedKey{plc.pool, limitsOf(&plc.request)}
	text, known := gate.exclusions.texts[key]
	if !known {
		text = gate.describeExcluded(key)
		gate.exclusions.texts[key] = text
	}
	return text
}

// describeExcluded computes the result of excludedTargets without the cache.
func (gate *Gate) describeExcluded(key excludedKey) string {
	counts := make(map[yuccaallow.Exclusion]int)
	for _, entry := range gate.roster.Targets() {
		if why := yuccaallow.Check(key.lim, nil, gate.allowTarget(entry)); entry.Pool == key.pool && why != yuccaallow.Allowed {
			counts[why]++
		}
	}
	var list []string
	for _, why := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", why, counts[why]))
	}
	return strings.Join(list, ", ")
}
