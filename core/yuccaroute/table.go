package yuccaroute

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"yuccacleat/core/yuccaid"
)

// Table is one configuration, made ready for looking up.
type Table struct {
	number   yuccaid.ConfigNumber
	config   Config
	hosts    map[string][]*Route
	pools    map[yuccaid.Pool]*Pool
	accounts map[string]*Account
	names    map[yuccaid.Account]*Account
}

// NewTable checks a configuration and returns its table, or a *ConfigError.
func NewTable(number yuccaid.ConfigNumber, config Config) (*Table, error) {
	tab := &Table{
		number:   number,
		config:   config,
		hosts:    make(map[string][]*Route),
		pools:    make(map[yuccaid.Pool]*Pool, len(config.Pools)),
		accounts: make(map[string]*Account),
		names:    make(map[yuccaid.Account]*Account, len(config.Accounts)),
	}
	for at := range config.Pools {
		tab.pools[config.Pools[at].Name] = &config.Pools[at]
	}
	for at := range config.Accounts {
		tab.addAccount(&config.Accounts[at])
	}
	for at := range config.Routes {
		if err := tab.addRoute(&config.Routes[at]); err != nil {
			return nil, err
		}
	}
	for _, routes := range tab.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return tab, nil
}

func (tab *Table) addAccount(account *Account) {
	tab.names[account.Name] = account
	for _, key := range account.Keys {
		tab.accounts[key] = account
	}
}

func (tab *Table) addRoute(route *Route) error {
	switch {
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return &ConfigError{Route: route.Name, Problem: fmt.Sprintf("prefix %q: begin and end it with a slash", route.Prefix)}
	case len(route.Pools) == 0:
		return &ConfigError{Route: route.Name, Problem: "no pool: name one"}
	}
	for _, share := range route.Pools {
		if tab.pools[share.Pool] == nil {
			return &ConfigError{Route: route.Name, Problem: fmt.Sprintf("pool %q is unknown: add it or name another", share.Pool)}
		}
	}
	host := hostOf(route.Host)
	tab.hosts[host] = append(tab.hosts[host], route)
	return nil
}

// Number returns the configuration's number.
func (tab *Table) Number() yuccaid.ConfigNumber { return tab.number }

// Config returns what the table was made of, which must not be changed.
func (tab *Table) Config() *Config { return &tab.config }

// Route returns the route of a host with the longest prefix that begins the path.
func (tab *Table) Route(host, path string) (*Route, bool) {
	for _, route := range tab.hosts[hostOf(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Pool returns a pool by its name.
func (tab *Table) Pool(name yuccaid.Pool) (*Pool, bool) {
	pool, found := tab.pools[name]
	return pool, found
}

// AccountByKey returns the account that holds a key.
func (tab *Table) AccountByKey(key string) (*Account, bool) {
	account, found := tab.accounts[key]
	return account, found
}

// AccountByName returns an account by its name.
func (tab *Table) AccountByName(name yuccaid.Account) (*Account, bool) {
	account, found := tab.names[name]
	return account, found
}

// RequiresKeys reports whether requests need a key at all.
func (tab *Table) RequiresKeys() bool { return len(tab.config.Accounts) > 0 }

// hostOf drops the port and the case of a host, which are of no meaning to a route. A host
// with several colons and no bracket is an address of version 6, whose last part is no port.
func hostOf(host string) string {
	bracketed := strings.HasPrefix(host, "[")
	at := strings.LastIndexByte(host, ':')
	switch {
	case bracketed && at > strings.LastIndexByte(host, ']'), !bracketed && at >= 0 && strings.Count(host, ":") == 1:
		host = host[:at]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// ConfigError says which route can't be used and what to do about it.
type ConfigError struct {
	Route   string
	Problem string
}

// Error names the route and the remedy.
func (err *ConfigError) Error() string {
	return "route " + err.Route + ": " + err.Problem
}
