// Package yuccaroute holds the routing configuration: which pool serves a request, whether a
// request may be repeated, which client accounts may send requests, and their quotas.
//
// A Table is one complete, immutable configuration with a number; a higher number is newer. It is
// for operators who publish complete configurations; package yuccastate is for those who publish a
// chain of changes, called notes. A Holder keeps the table that one daemon has accepted and never
// replaces it by one with a lower number, whichever source offers it.
//
//	table, err := yuccaroute.NewTable(12, config)
//	route, found := table.Route("desk.example", "/briefings/7")
//	account, known := table.AccountByKey(key)
package yuccaroute
