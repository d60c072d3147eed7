// Package yuccapeer decides which daemons are live, which of them leads a pool and
// which daemons hold connections to each other.
//
// The platform's list of VMs lags, so it only names candidates. A daemon is live while
// its own heartbeats arrive. Each daemon keeps its own view; no view is agreed on, and
// nothing that has to happen at most once may rest on one.
//
// # How long two leaders can stand side by side
//
// Two daemons of a data centre that reach each other name the same leader once both
// have heard the same heartbeats. A daemon that dies or is cut off is out of every view
// ExpireAfter after its last heartbeat arrived, and one that joins is in every view
// once its first heartbeat has arrived. So after a change two daemons may each take
// themselves for the leader for ExpireAfter plus HeartbeatEvery, plus the delay of one
// message and the gap between two ticks, and no longer. A daemon that was paused names
// no leader until it has listened again for SettleFor.
//
// # What membership costs
//
// Within a data centre each daemon is connected to each other. Between two data centres
// a few daemons on either side hold one connection each, picked by rendezvous hashing
// over the live ones, so any daemon's news reaches every data centre in three steps. A
// heartbeat is sent whole when something in it changed or a peer asks; otherwise a
// pulse of a few bytes says that nothing did.
package yuccapeer
