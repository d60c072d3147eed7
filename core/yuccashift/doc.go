// Package yuccashift selects another data centre for a request that the caller's own data centre
// has refused because of load.
//
// A request is first offered to the leader in the data centre of its caller, because traffic
// between regions is slow and paid for by volume. Only if that leader refuses is the request
// offered to the leader of another data centre. The other leader answers at once, because it
// knows its own queue. Therefore no load reports are sent between regions, and messages are
// sent only for requests that are shifted.
package yuccashift
