// Package yuccalog writes log lines in JSON without ever blocking the goroutine that logs.
//
// A process that writes its log directly to its standard output blocks when nobody reads it: the
// pipe fills up, and the next line blocks whoever logs, which may be the goroutine that decides on
// all requests of a data centre. During a burst of requests it would also write more lines than
// anybody reads. So lines wait in a bounded queue, and each level has a rate limit. Lines beyond
// these limits are left out, and a line reports how many.
//
// The level defines which lines are left out first: debug lines are about requests that went well,
// info lines about other decisions, and warn lines about the most urgent requests that were refused
// or failed, and about changes of the process's state. Lines without a level count as info.
//
// A log can also keep its last lines about requests in memory, so that an operator can find out what
// became of a request without reading the logs of all processes; see WithRecent.
package yuccalog
