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
// the text can't be decoded, or a region that it names has no data centre, OfferConfiguration returns an
// error and changes nothing.
func (gate *Gate) OfferConfiguration(raw []byte, source string) error {
	table, err := gate.decode(raw)
	if err == nil {
		err = table.CheckRegions(gate.settings.Regions)
	}
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
	gate.tableRaw, gate.tablePacked = raw, nil
	gate.tablePull.Received()
	gate.log.stateChange("configuration", "number", table.Number(), "before", before, "source", source)
	gate.ledger.Configure(now, table.Config().Accounts)
	gate.trackRoutes(now, table)
	for _, sched := range gate.schedulers {
		gate.configure(now, sched)
	}
	gate.resubmitForRegions(now)
	gate.onChange(now, gate.peers.SetConfig(now, table.Number(), ""))
}

// configurationNumber returns the number of the configuration in force, or zero if there is none.
func (gate *Gate) configurationNumber() yuccaid.ConfigNumber {
	if table := gate.tables.Load(); table != nil {
		return table.Number()
	}
	return 0
}

// tableRole stands for the name of a pool when the daemons of a data centre are put in the order in
// which they request a new configuration. The role can't collide with a pool, since names of pools
// have no spaces.
const tableRole = yuccaid.Pool("spread of configurations")

// pullTable requests the configuration from a peer whose configuration has a higher number than
// this daemon's. Within a data centre it first waits for its turn (see yuccapeer.PullDelay). It does
// nothing if a peer was asked less than pullInterval ago.
func (gate *Gate) pullTable(now time.Time, preferred yuccapeer.PeerConfig) {
	if !gate.tablePull.Due(now, gate.pullDelay(preferred)) {
		return
	}
	source := gate.tablePull.Choose(now, preferred, gate.peers.NewerConfigs())
	gate.send(source.Peer, yuccawire.KindTablePull, yuccawire.TablePull{Have: gate.configurationNumber(), Unpacks: true})
}

// pullDelay returns how long this daemon waits before it requests a configuration from a peer. A
// daemon that has restarted and has no configuration doesn't wait, nor does one that gets the
// configuration from another data centre, because no other daemon may be able to do so.
func (gate *Gate) pullDelay(source yuccapeer.PeerConfig) time.Duration {
	peer, found := gate.peers.Find(source.Peer.VM)
	rank, settled := gate.peers.LeaderRank(tableRole)
	restarted := gate.tables.Load() == nil && !gate.settings.FirstStart
	if !settled || restarted || found && peer.Centre != gate.settings.Centre {
		return 0
	}
	return yuccapeer.PullDelay(rank)
}

// onTablePull sends this daemon's configuration to a peer that has requested it, if the peer's
// configuration has a lower number and none is under way to the peer. The configuration is compressed
// once for all peers that can read that form. Otherwise fifty peers that request a configuration of
// some hundred kilobytes at once would occupy the link of a small VM for several seconds.
func (gate *Gate) onTablePull(now time.Time, from yuccaid.Incarnation, pull yuccawire.TablePull) {
	number := gate.configurationNumber()
	if number <= pull.Have || gate.tablesSent.underWay(now, from, uint64(pull.Have)) {
		return
	}
	message := yuccawire.Table{Raw: gate.tableRaw}
	if pull.Unpacks {
		message = yuccawire.Table{Packed: gate.packTable()}
	}
	if gate.send(from, yuccawire.KindTable, message) {
		gate.tablesSent[from] = sentAnswer{number: uint64(number), at: now}
	}
}

// packTable returns the compressed text of the configuration in force.
func (gate *Gate) packTable() []byte {
	if gate.tablePacked == nil {
		gate.tablePacked = yuccawire.PackTable(gate.tableRaw)
	}
	return gate.tablePacked
}

// onTable handles a configuration from a peer. It runs on the connection's goroutine, because a
// configuration may be a megabyte long, and decoding it on the control goroutine would delay every
// decision.
func (gate *Gate) onTable(message yuccawire.Table) {
	raw, err := message.Text()
	if err == nil {
		err = gate.OfferConfiguration(raw, "peer")
	}
	if err != nil {
		gate.log.stateChange("configuration refused", "source", "peer", "error", err)
	}
}
