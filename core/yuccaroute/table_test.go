package yuccaroute_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
)

func route(name, host, prefix string, pool yuccaid.Pool) yuccaroute.Route {
	return yuccaroute.Route{Name: name, Host: host, Prefix: prefix, Pools: []yuccaroute.PoolWeight{{Pool: pool, Weight: 1}}}
}

func table(number yuccaid.ConfigNumber, routes ...yuccaroute.Route) *yuccaroute.Table {
	tab, err := yuccaroute.NewTable(number, yuccaroute.Config{
		Routes:   routes,
		Pools:    []yuccaroute.Pool{{Name: "draft"}, {Name: "desk"}},
		Accounts: []yuccaroute.Account{{Name: "rally", Keys: []string{"k1", "k2"}}},
	})
	Expect(err).NotTo(HaveOccurred())
	return tab
}

var _ = Describe("a table", func() {
	newTable := func() *yuccaroute.Table {
		return table(3,
			route("all", "desk.example", "/", "draft"),
			route("notes", "desk.example", "/notes/", "draft"),
			route("old notes", "desk.example", "/notes/old/", "desk"),
			route("other", "other.example", "/notes/", "desk"),
			route("bracketed", "[fd00::7]", "/", "desk"),
			route("bare", "fd00::8", "/", "desk"),
		)
	}

	DescribeTable("finds the route with the longest prefix",
		func(host, path, name string) {
			found, ok := newTable().Route(host, path)
			Expect(ok).To(Equal(name != ""))
			if ok {
				Expect(found.Name).To(Equal(name))
			}
		},
		Entry("the longest of three matching prefixes", "desk.example", "/notes/old/7", "old notes"),
		Entry("the longest of two matching prefixes", "desk.example", "/notes/7", "notes"),
		Entry("a prefix that ends within a word doesn't count", "desk.example", "/notesolder", "all"),
		Entry("another host", "other.example", "/notes/7", "other"),
		Entry("the case of the host is ignored", "DESK.Example", "/notes/7", "notes"),
		Entry("so is its port", "desk.example:8221", "/notes/7", "notes"),
		Entry("an IPv6 address", "[fd00::7]", "/notes/7", "bracketed"),
		Entry("an IPv6 address with a port", "[fd00::7]:8221", "/notes/7", "bracketed"),
		Entry("the last part of an IPv6 address without brackets is no port", "fd00::8", "/notes/7", "bare"),
		Entry("an unknown host", "none.example", "/notes/7", ""),
		Entry("no matching prefix", "other.example", "/letters/7", ""),
	)

	It("finds an account by each of its keys", func() {
		for _, key := range []string{"k1", "k2"} {
			account, known := newTable().AccountByKey(key)
			Expect(known).To(BeTrue())
			Expect(account.Name).To(Equal(yuccaid.Account("rally")))
		}
		_, known := newTable().AccountByKey("")
		Expect(known).To(BeFalse())
	})

	DescribeTable("refuses a route that can't be used",
		func(bad yuccaroute.Route, problem string) {
			_, err := yuccaroute.NewTable(1, yuccaroute.Config{Routes: []yuccaroute.Route{bad}})
			var configErr *yuccaroute.ConfigError
			Expect(errors.As(err, &configErr)).To(BeTrue())
			Expect(err.Error()).To(ContainSubstring(problem))
		},
		Entry("a prefix without slash", route("r", "h", "/notes", "draft"), "begin and end it with a slash"),
		Entry("an unknown pool", route("r", "h", "/notes/", "draft"), "add it or name another"),
		Entry("no pool", yuccaroute.Route{Name: "r", Prefix: "/"}, "no pool: name one"),
	)

	DescribeTable("refuses a pool that can't be true",
		func(cold yuccacold.Limit) {
			_, err := yuccaroute.NewTable(1, yuccaroute.Config{Pools: []yuccaroute.Pool{{Name: "draft", Cold: cold}}})
			Expect(err).To(MatchError(And(ContainSubstring("pool draft"), ContainSubstring("neither may be negative"))))
		},
		Entry("a negative rate of cold targets", yuccacold.Limit{Duration: time.Second, Rate: -1}),
		Entry("a negative time for which targets are cold", yuccacold.Limit{Duration: -time.Second, Rate: 1}),
	)
})

var _ = Describe("picking a pool", func() {
	It("follows the weights", func() {
		weighted := yuccaroute.Route{Pools: []yuccaroute.PoolWeight{{Pool: "draft", Weight: 90}, {Pool: "desk", Weight: 10}}}
		Expect(weighted.Pick(0)).To(Equal(yuccaid.Pool("draft")))
		Expect(weighted.Pick(0.899)).To(Equal(yuccaid.Pool("draft")))
		Expect(weighted.Pick(0.9)).To(Equal(yuccaid.Pool("desk")))
		Expect(weighted.Pick(0.999)).To(Equal(yuccaid.Pool("desk")))
	})

	It("uses the first pool when no weight is set", func() {
		weighted := yuccaroute.Route{Pools: []yuccaroute.PoolWeight{{Pool: "draft"}, {Pool: "desk"}}}
		Expect(weighted.Pick(0.7)).To(Equal(yuccaid.Pool("draft")))
	})
})

var _ = Describe("a holder", func() {
	// The platform is restored from an old copy, or a peer whose process was paused offers its old
	// table. If the old table were accepted, a withdrawn key would work again.
	It("rejects a table with a lower or the same number", func() {
		var holder yuccaroute.Holder
		Expect(holder.Load()).To(BeNil())
		Expect(holder.Offer(table(5))).To(BeTrue())
		Expect(holder.Offer(table(4))).To(BeFalse())
		Expect(holder.Offer(table(5))).To(BeFalse())
		Expect(holder.Load().Number()).To(Equal(yuccaid.ConfigNumber(5)))
		Expect(holder.Offer(table(9))).To(BeTrue())
		Expect(holder.Load().Number()).To(Equal(yuccaid.ConfigNumber(9)))
	})
})
