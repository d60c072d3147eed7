package yuccastream_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastream"
)

var _ = Describe("the history of versions", func() {
	start := time.Unix(1_700_000_000, 0)
	versions := func(list ...yuccaid.Version) map[yuccastream.Origin]bool {
		set := make(map[yuccastream.Origin]bool)
		for _, version := range list {
			set[yuccastream.Origin{Pool: "notes", Version: version}] = true
		}
		return set
	}
	sole := func(hist *yuccastream.History, now time.Time) yuccaid.Version {
		view := hist.View(now, "notes", true)
		if !view.Certain() {
			return "uncertain"
		}
		return view.Version
	}

	It("tells the only version of a pool", func() {
		hist := yuccastream.NewHistory(time.Time{})
		hist.SetRegistered(start, versions("v1"))
		Expect(sole(hist, start)).To(Equal(yuccaid.Version("v1")))
		Expect(hist.View(start, "desk", true).Certain()).To(BeFalse())
	})

	// Guards against the failure that a stream of a version that has left goes on at the one that is left.
	It("has a version that has left for as long as a stream of it may be taken up", func() {
		hist := yuccastream.NewHistory(time.Time{})
		hist.SetRegistered(start, versions("v1", "v2"))
		Expect(sole(hist, start)).To(Equal(yuccaid.Version("uncertain")))
		left := start.Add(time.Hour)
		hist.SetRegistered(left, versions("v2"))
		Expect(sole(hist, left.Add(yuccastream.MaxRetention))).To(Equal(yuccaid.Version("uncertain")))
		Expect(sole(hist, left.Add(yuccastream.MaxRetention+time.Second))).To(Equal(yuccaid.Version("v2")))
	})

	// Guards against the failure that a daemon which has just started takes the present version for the
	// only one.
	It("doesn't tell what was before it began", func() {
		hist := yuccastream.NewHistory(start)
		hist.SetRegistered(start, versions("v1"))
		Expect(sole(hist, start.Add(time.Minute))).To(Equal(yuccaid.Version("uncertain")))
		Expect(sole(hist, start.Add(yuccastream.MaxRetention))).To(Equal(yuccaid.Version("v1")))
	})

	// Guards against the failure that a stream goes on in another pool than the one that began it.
	It("has the routes whose requests went to other pools", func() {
		hist := yuccastream.NewHistory(time.Time{})
		all := yuccastream.Route{Host: "desk", Prefix: "/notes/", Pools: "notes"}
		long := yuccastream.Route{Host: "desk", Prefix: "/notes/long/", Pools: "notes"}
		other := yuccastream.Route{Host: "hall", Prefix: "/", Pools: "notes"}
		hist.SetRoutes(start, map[string]yuccastream.Route{"all": all, "long": long, "other": other})
		Expect(hist.RouteIsOld(start, "long")).To(BeTrue())
		moved := long
		moved.Pools = "archive"
		hist.SetRoutes(start.Add(time.Second), map[string]yuccastream.Route{"all": all, "long": moved, "other": other})
		Expect(hist.RouteIsOld(start.Add(2*time.Second), "long")).To(BeFalse())
		Expect(hist.RouteIsOld(start.Add(2*time.Second), "other")).To(BeTrue())
		Expect(hist.RouteIsOld(start.Add(2*time.Second+yuccastream.MaxRetention), "long")).To(BeTrue())
		hist.SetRoutes(start.Add(time.Hour), map[string]yuccastream.Route{"all": all, "other": other})
		Expect(hist.RouteIsOld(start.Add(time.Hour), "all")).To(BeFalse())
		Expect(hist.RouteIsOld(start.Add(time.Hour), "other")).To(BeTrue())
	})

	It("compares a route with that of another daemon", func() {
		hist := yuccastream.NewHistory(time.Time{})
		view := func(now time.Time, route yuccastream.Route) string {
			kept, moved := hist.RouteView(now, "long", route)
			return fmt.Sprint(kept, moved)
		}
		long := yuccastream.Route{Host: "desk", Prefix: "/notes/long/", Pools: "notes"}
		moved := long
		moved.Pools = "archive"
		Expect(view(start, long)).To(Equal("false false"))
		hist.SetRoutes(start, map[string]yuccastream.Route{"long": long})
		Expect(view(start, long)).To(Equal("true false"))
		Expect(view(start, moved)).To(Equal("false true"))
		hist.SetRoutes(start, map[string]yuccastream.Route{"long": moved})
		Expect(view(start, moved)).To(Equal("false true"))
		Expect(view(start.Add(yuccastream.MaxRetention+time.Second), moved)).To(Equal("true false"))
	})
})

// Guards against the failure that a daemon which has just started takes a route's present pools for its only ones.
var _ = DescribeTable("the pools of a route, as several daemons know them",
	func(agreed bool, views ...yuccastream.View) {
		Expect(yuccastream.AgreeOnRoute(views)).To(Equal(agreed))
	},
	Entry("are told by one whose history is complete", true, yuccastream.View{Kept: true}, yuccastream.View{Complete: true, Kept: true}),
	Entry("aren't told by one that has just started", false, yuccastream.View{Kept: true}),
	Entry("aren't told by one that knows no routes", false, yuccastream.View{Complete: true}),
	Entry("aren't told if another knows that the route has moved", false, yuccastream.View{Complete: true, Kept: true}, yuccastream.View{Moved: true}),
	Entry("aren't told by nobody", false),
)

// A view of a daemon with current news and a complete history is certain.
var _ = DescribeTable("the only version of a pool, as several daemons know it",
	func(version yuccaid.Version, views ...yuccastream.View) {
		sole, agreed := yuccastream.Agree(views)
		if version == "" {
			Expect(agreed && sole != "").To(BeFalse())
			return
		}
		Expect(agreed).To(BeTrue())
		Expect(sole).To(Equal(version))
	},
	Entry("is told by one that is certain", yuccaid.Version("v1"),
		yuccastream.View{Version: "v1", Fresh: true}, yuccastream.View{Version: "v1", Complete: true, Fresh: true}),
	Entry("isn't told by one that knows no other but began just now", yuccaid.Version(""), yuccastream.View{Version: "v1", Fresh: true}),
	Entry("isn't told if another knows two", yuccaid.Version(""),
		yuccastream.View{Version: "v1", Complete: true, Fresh: true}, yuccastream.View{Several: true, Fresh: true}),
	Entry("isn't told if another knows a different one", yuccaid.Version(""),
		yuccastream.View{Version: "v1", Complete: true, Fresh: true}, yuccastream.View{Version: "v2", Fresh: true}),
	Entry("isn't told by one that is cut off from the platform and from its peers", yuccaid.Version(""), yuccastream.View{Version: "v1", Complete: true}),
	Entry("is told by several while the platform is silent", yuccaid.Version("v1"),
		yuccastream.View{Version: "v1", Complete: true}, yuccastream.View{Version: "v1"}),
	Entry("isn't told by one without news if another has some and began just now", yuccaid.Version(""),
		yuccastream.View{Version: "v1", Complete: true}, yuccastream.View{Version: "v1", Fresh: true}),
	Entry("isn't told by nobody", yuccaid.Version("")),
	Entry("isn't told where there are no targets", yuccaid.Version(""), yuccastream.View{Complete: true, Fresh: true}),
)
