package yuccaroute

import (
	"fmt"
	"maps"
	"slices"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

// AllowedRegions returns the regions in which a request on a route, of an account or of none, may be
// served.
func AllowedRegions(route *Route, account *Account) yuccaregion.Set {
	if account == nil {
		return route.Regions
	}
	return route.Regions.Intersect(account.Regions)
}

// AllowedRegions returns the regions in which this configuration allows to serve a request to a host with
// a path, of the named account, which may have arrived under another one. A route or an account that the
// configuration doesn't have allows every region.
func (tab *Table) AllowedRegions(host, path string, account yuccaid.Account) yuccaregion.Set {
	var allowed yuccaregion.Set
	if route, found := tab.Route(host, path); found {
		allowed = route.Regions
	}
	if found, known := tab.byName[account]; known {
		allowed = allowed.Intersect(found.Regions)
	}
	return allowed
}

// CheckRegions returns a *ConfigError if a route or an account is limited to a region that has none of
// the given data centres. Such a limit is most likely a mistake, and no request could be served there.
func (tab *Table) CheckRegions(centres map[yuccaid.Centre]yuccaid.Region) error {
	known := make(map[yuccaid.Region]bool, len(centres))
	for _, region := range centres {
		known[region] = true
	}
	for at := range tab.config.Routes {
		route := &tab.config.Routes[at]
		if problem := unknownRegion(route.Regions, known); problem != "" {
			return &ConfigError{Route: route.Name, Problem: problem}
		}
	}
	for at := range tab.config.Accounts {
		account := &tab.config.Accounts[at]
		if problem := unknownRegion(account.Regions, known); problem != "" {
			return &ConfigError{Account: account.Name, Problem: problem}
		}
	}
	return nil
}

// unknownRegion returns the problem that a set has a region which isn't known, empty if it has none.
func unknownRegion(set yuccaregion.Set, known map[yuccaid.Region]bool) string {
	for _, region := range set.Regions() {
		if !known[region] {
			names := slices.Sorted(maps.Keys(known))
			return fmt.Sprintf("region %q has no data centre: name one of %q, or add its data centres to the settings", region, names)
		}
	}
	return ""
}
