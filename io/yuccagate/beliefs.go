package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/io/yuccawire"
)

// pullInterval is the shortest time between two requests to peers for a configuration, and also
// the shortest time between two requests to peers for targets. It keeps a daemon from repeating a
// request before the peer could respond.
const pullInterval = 300 * time.Millisecond

// OfferConfiguration takes the text of a configuration from the named source. It puts the new
// configuration in force if its number is higher than the number of the present configuration. If
// the text can't be decoded, OfferConfiguration returns an error and changes nothing.
func (gate *Gate) OfferConfiguration(raw []byte, source string) error {
	table, err := gate.decode(raw)
	if err != nil {
		return err
	}
	gate.control.Post(func(now time.Time) { gate.adopt(now, table, raw, source) })
	return nil
}

// adopt puts the configuration in force if its number is higher than the number of the present
// configuration, and announces the new number to the other daemons.
func (gate *Gate) adopt(now time.Time, table *yuccaroute.Table, raw []byte, source string) {
	before, first := gate.configurationNumber(), gate.tables.Load() == nil
	if !gate.tables.Offer(table) {
		return
	}
	if first {
		close(gate.configured)
	}
	gate.tableRaw = raw
	gate.log.stateChange("configuration", "number", table.Number(), "before", before, "source", source)
	gate.ledger.Configure(now, table.Config().Accounts)
	gate.onChange(now, gate.peers.SetConfig(now, table.Number(), ""))
}

// configurationNumber returns the number of the configuration in force, or zero if there is none.
func (gate *Gate) configurationNumber() yuccaid.ConfigNumber {
	if table := gate.tables.Load(); table != nil {
		return table.Number()
	}
	return 0
}

// pullTable requests the configuration from a peer whose configuration has a higher number than
// this daemon's. It does nothing if a peer was asked less than pullInterval ago.
func (gate *Gate) pullTable(now time.Time, source yuccapeer.PeerConfig) {
	if now.Sub(gate.tablePulledAt) < pullInterval {
		return
	}
	gate.tablePulledAt = now
	gate.send(source.Peer, yuccawire.KindTablePull, yuccawire.TablePull{Have: gate.configurationNumber()})
}

// onTablePull sends this daemon's configuration to a peer that has requested it, if the peer's
// configuration has a lower number.
func (gate *Gate) onTablePull(from yuccaid.Incarnation, pull yuccawire.TablePull) {
	if gate.configurationNumber() > pull.Have {
		gate.send(from, yuccawire.KindTable, yuccawire.Table{Raw: gate.tableRaw})
	}
}

// onTable handles a configuration from a peer. It runs on the connection's goroutine, because a
// configuration may be a megabyte long, and decoding it on the control goroutine would delay every
// decision.
func (gate *Gate) onTable(message yuccawire.Table) {
	if err := gate.OfferConfiguration(message.Raw, "peer"); err != nil {
		gate.log.stateChange("configuration refused", "source", "peer", "error", err)
	}
}
