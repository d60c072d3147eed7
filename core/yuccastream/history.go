package yuccastream

import (
	"maps"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
)

// History is the versions that the pools' targets have had, and the pools that routes have had, within
// MaxRetention. It isn't safe for concurrent use.
type History struct {
	// since is the time from which on the history is complete, zero if it always was.
	since time.Time
	// registered are the present targets' versions, and lastSeen when a former one was last registered.
	registered map[Origin]bool
	lastSeen   map[Origin]time.Time
	// routes holds the present routes by name, and changedAt when a stream on a route may last have begun
	// in another pool.
	routes    map[string]Route
	changedAt map[string]time.Time
}

// NewHistory returns an empty history that is complete from a time on. A zero time says that no stream
// began before it.
func NewHistory(since time.Time) *History {
	return &History{
		since: since, registered: make(map[Origin]bool), lastSeen: make(map[Origin]time.Time),
		routes: make(map[string]Route), changedAt: make(map[string]time.Time),
	}
}

// SetRegistered sets the versions of the targets that are registered now.
func (hist *History) SetRegistered(now time.Time, origins map[Origin]bool) {
	for origin := range hist.registered {
		if !origins[origin] {
			hist.lastSeen[origin] = now
		}
	}
	hist.registered = origins
	maps.DeleteFunc(hist.lastSeen, func(_ Origin, seen time.Time) bool { return now.Sub(seen) > MaxRetention })
}

// Seen records that a version was registered at some time since the last call of SetRegistered, perhaps no longer now.
func (hist *History) Seen(now time.Time, origin Origin) {
	if !hist.registered[origin] {
		hist.lastSeen[origin] = now
	}
}

// View is what a daemon knows of the versions that a pool's targets have had within MaxRetention.
type View struct {
	// Version is the only version that the daemon knows, empty if it knows none or several.
	Version yuccaid.Version
	Several bool
	// Complete reports whether the daemon's history reaches back that far, and Fresh whether the daemon
	// has current news of the platform. Only with both can the pool have had no other version.
	Complete, Fresh bool
	// Kept reports whether the route of the stream has led to its present pools since the history began, and Moved whether it may
	// have led to others. Both are false if the daemon knows no routes.
	Kept, Moved bool
}

// Certain reports whether the daemon knows that the pool has had one version only.
func (view View) Certain() bool { return view.Version != "" && view.Complete && view.Fresh }

// View returns what the history tells of a pool; fresh is passed on.
func (hist *History) View(now time.Time, pool yuccaid.Pool, fresh bool) View {
	view := View{Complete: hist.since.IsZero() || now.Sub(hist.since) >= MaxRetention, Fresh: fresh}
	count := 0
	for origin := range hist.registered {
		if origin.Pool == pool {
			view.Version = origin.Version
			count++
		}
	}
	for origin, seen := range hist.lastSeen {
		if origin.Pool == pool && !hist.registered[origin] && now.Sub(seen) <= MaxRetention {
			view.Version = origin.Version
			count++
		}
	}
	if count > 1 {
		view.Version, view.Several = "", true
	}
	return view
}

// Agree returns the only version that a pool has had according to the views of several daemons, and false
// if they leave another one possible. One daemon that is certain is enough if none knows another version.
// While the platform is silent for all of them, those that have had news of it up to then have to agree.
func Agree(views []View) (yuccaid.Version, bool) {
	var sole yuccaid.Version
	certain, complete, fresh := false, false, false
	for _, view := range views {
		if view.Several || sole != "" && view.Version != "" && view.Version != sole {
			return "", false
		}
		if view.Version != "" {
			sole = view.Version
		}
		certain = certain || view.Certain()
		complete = complete || view.Version != "" && view.Complete
		fresh = fresh || view.Fresh
	}
	return sole, certain || complete && !fresh && len(views) > 1
}

// Route is which requests a route selects, and the pools that serve them as a text.
type Route struct {
	Host   string `msgpack:"host"`
	Prefix string `msgpack:"prefix"`
	Pools  string `msgpack:"pools"`
}

// serves reports whether the route may serve requests of another one if that is removed.
func (route Route) serves(other Route) bool {
	return route.Host == other.Host && strings.HasPrefix(other.Prefix, route.Prefix)
}

// SetRoutes sets the routes of streams. Requests on a new or changed route, and on one that takes over
// those of a route that is gone, may have gone to other pools before.
func (hist *History) SetRoutes(now time.Time, routes map[string]Route) {
	former := hist.routes
	hist.routes = routes
	if len(former) == 0 {
		return
	}
	for name, route := range routes {
		if former[name] != route {
			hist.changedAt[name] = now
		}
	}
	for name, gone := range former {
		if routes[name] == gone {
			continue
		}
		for other, route := range routes {
			if route.serves(gone) {
				hist.changedAt[other] = now
			}
		}
	}
	maps.DeleteFunc(hist.changedAt, func(name string, _ time.Time) bool { _, found := routes[name]; return !found })
}

// RouteView returns whether a route, as another daemon knows it, has led to the same pools since the history began, and whether it
// may have led to others within MaxRetention.
func (hist *History) RouteView(now time.Time, name string, route Route) (kept, moved bool) {
	if len(hist.routes) == 0 {
		return false, false
	}
	kept = hist.routes[name] == route && hist.RouteIsOld(now, name)
	return kept, !kept
}

// AgreeOnRoute reports whether the views of several daemons leave no other pools possible than the present ones of the stream's
// route. A daemon that has just started doesn't know to which pools the route led before.
func AgreeOnRoute(views []View) bool {
	kept := false
	for _, view := range views {
		if view.Moved {
			return false
		}
		kept = kept || view.Complete && view.Kept
	}
	return kept
}

// RouteIsOld reports whether a route's pools have been the same for MaxRetention, so that no stream on it
// began in another pool.
func (hist *History) RouteIsOld(now time.Time, name string) bool {
	changed, found := hist.changedAt[name]
	return !found || now.Sub(changed) > MaxRetention
}
