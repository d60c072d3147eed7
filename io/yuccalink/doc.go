// Package yuccalink is the transport between daemons. It keeps up control connections, which carry
// messages in order, and opens traffic connections, which carry one stream each.
//
// A connection may go silent for good while a new one to the same address works, for example when
// a firewall between the two ends has lost its state. TCP notices this only after many minutes. So
// each end sends something at least every Limits.KeepAliveEvery, and an end that has received nothing
// for Limits.Silence closes the connection and dials again. Both limits bound silence, not the time
// that a long message takes.
//
// Two incarnations of a daemon may claim the same address, because the old process was paused while
// its VM was replaced. Then the hub dials the address. The incarnation that answers there is kept,
// and the other one is refused from then on.
//
// A message that is queued when its connection breaks may be lost, and the sender gets no error. The
// option OnDown reports that this may have happened. A sender that needs a response has to repeat its
// request.
package yuccalink
