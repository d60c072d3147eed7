// Package yuccagrant schedules the requests of a pool: it decides which waiting request is sent
// to which target, and which is refused with a time after which to retry.
//
// It is made for requests with a latency target for the first event: an answer whose first
// event is on time and whose events then follow without long gaps is worth much more than one
// that starts late. A Leader decides for one pool as seen from one data centre. It counts the
// runs on each target, keeps the targets' own queues nearly empty, and holds the other requests
// in a queue ordered by urgency and expected work. It learns latencies from the answers: the
// time to the first event, the time between two events, and the pace of each target, which is
// how many times longer it takes than the fastest target.
//
// The package has no clock, no sockets and no goroutines; the caller passes the current time to
// each method that needs it. Two leaders that decide at once can briefly overfill a target. The
// owner of a request, not this package, ensures that it is run only once.
package yuccagrant
