package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/io/yuccawire"
)

// pullEvery keeps a daemon from asking for a configuration again before a peer can answer.
const pullEvery = 300 * time.Millisecond

// OfferConfiguration takes the text of a configuration from a source. One that can't be read changes
// nothing.
func (gate *Gate) OfferConfiguration(raw []byte, source string) error {
	table, err := gate.decode(raw)
	if err != nil {
		return err
	}
	gate.control.Post(func(now time.Time) { gate.adopt(now, table, raw, source) })
	return nil
}

// adopt puts a newer configuration in force and tells the peers of its number.
func (gate *Gate) adopt(now time.Time, table *yuccaroute.Table, raw []byte, source string) {
	before, first := gate.number(), gate.tables.Load() == nil
	if !gate.tables.Offer(table) {
		return
	}
	if first {
		close(gate.configured)
	}
	gate.tableText = raw
	gate.log.belief("configuration", "number", table.Number(), "before", before, "source", source)
	gate.ledger.Configure(now, table.Config().Accounts)
	gate.onChange(now, gate.peers.SetConfig(now, table.Number(), ""))
}

func (gate *Gate) number() yuccaid.ConfigNumber {
	if table := gate.tables.Load(); table != nil {
		return table.Number()
	}
	return 0
}

// pullTable asks a peer with a higher number for its configuration.
func (gate *Gate) pullTable(now time.Time, source yuccapeer.PeerConfig) {
	if now.Sub(gate.pulled) < pullEvery {
		return
	}
	gate.pulled = now
	gate.send(source.Peer, yuccawire.KindTablePull, yuccawire.TablePull{Have: gate.number()})
}

func (gate *Gate) onTablePull(from yuccaid.Incarnation, pull yuccawire.TablePull) {
	if gate.number() > pull.Have {
		gate.send(from, yuccawire.KindTable, yuccawire.Table{Raw: gate.tableText})
	}
}

// readTable reads a peer's configuration on the connection's goroutine: one of a megabyte
// takes long enough to hold up every decision of control.
func (gate *Gate) readTable(message yuccawire.Table) {
	if err := gate.OfferConfiguration(message.Raw, "peer"); err != nil {
		gate.log.belief("configuration refused", "source", "peer", "error", err)
	}
}
