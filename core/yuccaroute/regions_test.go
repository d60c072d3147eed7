package yuccaroute_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaroute"
)

var _ = Describe("regions", func() {
	coast, hills := yuccaregion.Only("coast"), yuccaregion.Only("hills")
	newTable := func(notes, rally yuccaregion.Set) *yuccaroute.Table {
		limited := route("notes", "desk.example", "/notes/", "draft")
		limited.Regions = notes
		tab, err := yuccaroute.NewTable(3, yuccaroute.Config{
			Routes:   []yuccaroute.Route{limited, route("all", "desk.example", "/", "draft")},
			Pools:    []yuccaroute.Pool{{Name: "draft"}},
			Accounts: []yuccaroute.Account{{Name: "rally", Regions: rally}, {Name: "club"}},
		})
		Expect(err).NotTo(HaveOccurred())
		return tab
	}

	// Guards against the failure that one of two limits is overlooked.
	DescribeTable("bind by route and account",
		func(notes, rally yuccaregion.Set, path string, account yuccaid.Account, want yuccaregion.Set) {
			tab := newTable(notes, rally)
			Expect(tab.AllowedRegions("desk.example", path, account)).To(Equal(want))
			found, _ := tab.Route("desk.example", path)
			holder, _ := tab.AccountByName(account)
			Expect(yuccaroute.AllowedRegions(found, holder)).To(Equal(want))
		},
		Entry("neither is limited", yuccaregion.Set{}, yuccaregion.Set{}, "/notes/7", yuccaid.Account("rally"), yuccaregion.Set{}),
		Entry("the route is", coast, yuccaregion.Set{}, "/notes/7", yuccaid.Account("rally"), coast),
		Entry("the account is", yuccaregion.Set{}, hills, "/notes/7", yuccaid.Account("rally"), hills),
		Entry("both are", yuccaregion.Only("coast", "hills"), yuccaregion.Only("hills", "plain"), "/notes/7", yuccaid.Account("rally"), hills),
		Entry("they exclude each other", coast, hills, "/notes/7", yuccaid.Account("rally"), yuccaregion.Only()),
		Entry("another route is", coast, yuccaregion.Set{}, "/other/", yuccaid.Account("rally"), yuccaregion.Set{}),
		Entry("another account is", yuccaregion.Set{}, hills, "/notes/7", yuccaid.Account("club"), yuccaregion.Set{}),
		Entry("the request has no account", coast, hills, "/notes/7", yuccaid.Account(""), coast),
	)

	It("allow every region where the configuration has neither the route nor the account", func() {
		Expect(newTable(coast, hills).AllowedRegions("none.example", "/notes/7", "nobody")).To(Equal(yuccaregion.Set{}))
	})

	// Guards against the failure that a misspelt region takes all targets from a route without a word.
	It("must have a data centre", func() {
		centres := map[yuccaid.Centre]yuccaid.Region{"odessa": "coast", "midland": "plain"}
		Expect(newTable(coast, yuccaregion.Only("plain")).CheckRegions(centres)).To(Succeed())
		Expect(newTable(yuccaregion.Set{}, yuccaregion.Set{}).CheckRegions(nil)).To(Succeed())
		var problem *yuccaroute.ConfigError
		Expect(errors.As(newTable(hills, yuccaregion.Set{}).CheckRegions(centres), &problem)).To(BeTrue())
		Expect(problem).To(MatchError(`route notes: region "hills" has no data centre: name one of ["coast" "plain"], or add its data centres to the settings`))
		Expect(errors.As(newTable(coast, yuccaregion.Only("plain", "coats")).CheckRegions(centres), &problem)).To(BeTrue())
		Expect(problem).To(MatchError(ContainSubstring(`account rally: region "coats" has no data centre`)))
	})
})
