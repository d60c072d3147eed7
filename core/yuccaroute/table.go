package yuccaroute

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"yuccacleat/core/yuccaid"
)

// Table is one configuration with indexes for lookups.
type Table struct {
	number yuccaid.ConfigNumber
	config Config
	// byHost holds the routes of each host, those with the longest prefix first.
	byHost map[string][]*Route
	pools  map[yuccaid.Pool]*Pool
	// byKey holds the accounts by each element of Account.Keys, byName by their names.
	byKey  map[string]*Account
	byName map[yuccaid.Account]*Account
}

// NewTable returns the table of a configuration, whose slices must not be modified afterwards. If a
// route or a pool can't be used, the error is a *ConfigError.
func NewTable(number yuccaid.ConfigNumber, config Config) (*Table, error) {
	tab := &Table{
		number: number,
		config: config,
		byHost: make(map[string][]*Route),
		pools:  make(map[yuccaid.Pool]*Pool, len(config.Pools)),
		byKey:  make(map[string]*Account),
		byName: make(map[yuccaid.Account]*Account, len(config.Accounts)),
	}
	for i := range config.Pools {
		if err := checkPool(&config.Pools[i]); err != nil {
			return nil, err
		}
		tab.pools[config.Pools[i].Name] = &config.Pools[i]
	}
	for i := range config.Accounts {
		tab.addAccount(&config.Accounts[i])
	}
	for i := range config.Routes {
		if err := tab.addRoute(&config.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range tab.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return tab, nil
}

func (tab *Table) addAccount(account *Account) {
	tab.byName[account.Name] = account
	for _, key := range account.Keys {
		tab.byKey[key] = account
	}
}

func (tab *Table) addRoute(route *Route) error {
	switch {
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return &ConfigError{Route: route.Name, Problem: fmt.Sprintf("prefix %q: begin and end it with a slash", route.Prefix)}
	case len(route.Pools) == 0:
		return &ConfigError{Route: route.Name, Problem: "no pool: name one"}
	}
	for _, poolWeight := range route.Pools {
		if tab.pools[poolWeight.Pool] == nil {
			return &ConfigError{Route: route.Name, Problem: fmt.Sprintf("pool %q is unknown: add it or name another", poolWeight.Pool)}
		}
	}
	host := normalizeHost(route.Host)
	tab.byHost[host] = append(tab.byHost[host], route)
	return nil
}

// Number returns the configuration's number.
func (tab *Table) Number() yuccaid.ConfigNumber { return tab.number }

// Config returns the configuration of the table, which must not be modified.
func (tab *Table) Config() *Config { return &tab.config }

// Route returns the route for a request to a host with a path. Of the host's routes whose
// prefix the path begins with, it is the route with the longest prefix.
func (tab *Table) Route(host, path string) (*Route, bool) {
	for _, route := range tab.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Pool returns the pool with the given name.
func (tab *Table) Pool(name yuccaid.Pool) (*Pool, bool) {
	pool, found := tab.pools[name]
	return pool, found
}

// AccountByKey returns the account that has the key in Account.Keys.
func (tab *Table) AccountByKey(key string) (*Account, bool) {
	account, found := tab.byKey[key]
	return account, found
}

// AccountByName returns the account with the given name.
func (tab *Table) AccountByName(name yuccaid.Account) (*Account, bool) {
	account, found := tab.byName[name]
	return account, found
}

// RequiresKeys reports whether the configuration has accounts. If it has, a request needs a key of
// an account, unless the request's route sets AllowAnonymous.
func (tab *Table) RequiresKeys() bool { return len(tab.config.Accounts) > 0 }

// normalizeHost returns a host in lower case, without port and without the trailing dot of an
// absolute domain name, because routes depend on none of these. A host with several colons and no
// bracket is an IPv6 address without port.
func normalizeHost(host string) string {
	bracketed := strings.HasPrefix(host, "[")
	colon := strings.LastIndexByte(host, ':')
	switch {
	case bracketed && colon > strings.LastIndexByte(host, ']'), !bracketed && colon >= 0 && strings.Count(host, ":") == 1:
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// checkPool returns an error if what is configured of a pool can't be true.
func checkPool(pool *Pool) error {
	if pool.Cold.Duration < 0 || pool.Cold.Rate < 0 {
		problem := fmt.Sprintf("targets are cold for %v and then bear %g requests a second: neither may be negative",
			pool.Cold.Duration, pool.Cold.Rate)
		return &ConfigError{Pool: pool.Name, Problem: problem}
	}
	return nil
}

// ConfigError describes why a route, a pool or an account can't be used and how to correct it.
type ConfigError struct {
	// Route is the name of the route, empty if the error concerns a pool or an account.
	Route   string
	Pool    yuccaid.Pool
	Account yuccaid.Account
	Problem string
}

// Error returns the name of the route, pool or account, and the problem with its remedy.
func (err *ConfigError) Error() string {
	switch {
	case err.Account != "":
		return "account " + string(err.Account) + ": " + err.Problem
	case err.Pool != "":
		return "pool " + string(err.Pool) + ": " + err.Problem
	}
	return "route " + err.Route + ": " + err.Problem
}
