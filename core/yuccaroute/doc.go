// Package yuccaroute holds the routing configuration: which pool serves a request, what
// may be repeated, who may ask and how much.
//
// A Table is one configuration as a whole, immutable, with a number. It stands beside the
// chained notes of yuccastate for operators who publish whole states. A Holder is what one
// daemon has accepted: it never goes back to a lower number, whoever offers it.
//
//	table, err := yuccaroute.NewTable(12, config)
//	route, found := table.Route("desk.example", "/briefings/7")
//	account, known := table.Account(key)
package yuccaroute
