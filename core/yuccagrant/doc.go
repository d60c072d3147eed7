// Package yuccagrant schedules the requests of a pool, which is a group of targets: it decides
// which waiting request is sent to which target, and which is refused with a time after which to
// retry. A target is an inference engine, which serves as many requests at once as it has slots and
// streams each answer as events, or a plain service, which answers with a single event.
//
// It is made for requests with a latency target for the first event: an answer whose first
// event is on time and whose events then follow without long gaps is worth much more than one
// that starts late. A Leader decides for one pool as seen from one data centre. It counts the
// runs on each target, which are the requests that were sent there and have not finished. It
// sends a target few requests beyond its free slots, so that the target's own queue stays nearly
// empty, and holds all further requests in a queue ordered by urgency and expected work. It
// learns latencies from the answers: the time to the first event, the time between two events,
// and the pace of each target, which is how many times longer it takes than the fastest target.
//
// The package has no clock, no sockets and no goroutines; the caller passes the current time to
// each method that needs it. Two leaders that decide at the same time can briefly send a
// target more requests than it has slots for. The owner of a request, which is the daemon that
// holds the caller's connection, ensures that the request is run only once; this package does
// not.
package yuccagrant
