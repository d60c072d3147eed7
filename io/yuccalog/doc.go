// Package yuccalog writes JSON lines without ever holding up who logs.
//
// A process that logs straight to its standard output stands still when nobody reads it:
// the pipe fills, and the next line blocks whoever logs, which may be the goroutine that
// decides for a whole data centre. And a burst of requests would write more lines than
// anybody reads, at the expense of serving them. So lines wait in a bounded queue, and each
// level has a rate. What finds no room is counted, and the count is a line of its own.
//
// The levels of go-kit say what goes first: debug lines tell of requests that went well,
// info lines of other decisions, warn lines of the most urgent requests that were refused or
// failed and of what a process now believes. Lines without a level count as info.
package yuccalog
