// Package yuccapeer decides which daemons are live, which of them leads a pool and
// which daemons hold connections to each other.
//
// The platform's list of VMs lags behind, so it only names candidates. A daemon is live
// while its own heartbeats arrive. Each daemon has its own view of the others. Views are
// not agreed on between daemons, so nothing that must happen at most once may depend on
// one.
//
// # How long two daemons can both lead a pool
//
// Two daemons of a data centre that can reach each other name the same leader once both
// have received the same heartbeats. A daemon that dies or is cut off is removed from
// every view ExpireAfter after its last heartbeat arrived, and one that joins is in every
// view once its first heartbeat has arrived. So after a change two daemons may both
// consider themselves the leader for at most ExpireAfter plus HeartbeatEvery, plus the
// delay of one message and the gap between two ticks. A daemon that was paused names no
// leader until it has received heartbeats again for SettleFor.
//
// # What membership costs
//
// Within a data centre each daemon is connected to every other. Between two data centres
// a few daemons on either side, the gateways, hold one connection each. They are picked by
// rendezvous hashing over the live daemons. A change at any daemon reaches every data
// centre in three hops: to a gateway, across, and on to the others. A full heartbeat is
// sent when something in it has changed or a peer requests it. Otherwise a pulse of a few
// bytes reports that nothing has changed.
package yuccapeer
