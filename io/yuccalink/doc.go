// Package yuccalink is the transport between daemons: control connections that are kept
// up and carry messages in order, and traffic connections that carry one stream each.
//
// Any connection may go silent for good while a new one to the same address works, for
// instance when something between the two ends has forgotten it. TCP notices that after
// many minutes. Here both ends send something at least every KeepAliveEvery, and an end
// that has heard nothing for SilenceLimit closes the connection and dials again.
//
// A daemon's address tells successor from predecessor: when two incarnations claim one,
// the hub dials it, and whoever answers there stays. The other is refused from then on.
//
// A message that was queued when its connection broke may be lost, and the sender is
// not told: OnDown says that this may have happened, and who needs an answer asks again.
package yuccalink
