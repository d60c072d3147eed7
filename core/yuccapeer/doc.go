// Package yuccapeer decides which daemons are live, which of them leads a pool and
// which daemons hold connections to each other.
//
// The platform's list of VMs lags behind, so it only names candidates. A daemon is live
// while its own heartbeats arrive. Each daemon has its own view of which daemons are
// live. Views are not agreed on between daemons, so nothing that must happen at most once
// may depend on a view.
//
// # How long two daemons can both lead a pool
//
// Two daemons of a data centre that can reach each other name the same leader once both
// have received the same heartbeats. A daemon that dies or is cut off is removed from
// every view ExpireAfter after its last heartbeat arrived, and a daemon that joins is in every
// view once its first heartbeat has arrived. So after a change two daemons may both
// consider themselves the leader for at most ExpireAfter plus HeartbeatEvery (see Timing),
// plus the delay of one message and the gap between two calls of Tick. A daemon that was
// paused names no leader until it has received heartbeats again for SettleFor.
//
// # What membership costs
//
// Within a data centre each daemon is connected to every other. Between two data centres
// a few daemons on either side, the gateways, hold one connection each. The gateways are
// chosen by rendezvous hashing over the live daemons. A change at any daemon reaches every
// daemon in three hops: to a gateway of its data centre, to a gateway of the other data
// centre, and to the other daemons there. A full heartbeat is sent when something in it has
// changed or a peer requests it. Otherwise a pulse of a few bytes reports that nothing has
// changed.
package yuccapeer
