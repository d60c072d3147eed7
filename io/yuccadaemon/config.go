package yuccadaemon

import (
	"context"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccaplat"
	"yuccacleat/io/yuccawire"
)

const (
	// listEvery spaces the reading of the VM list, which lags by more than this. At
	// 400 daemons it makes 80 reads a second of the 2,000 that the platform allows.
	listEvery = 5 * time.Second
	// pullEvery keeps a daemon from asking again before a peer can answer.
	pullEvery = 500 * time.Millisecond
	// notesBytes keeps an answer with notes within one frame.
	notesBytes = 900_000
	// snapshotPart keeps a part of a whole configuration within one frame.
	snapshotPart = 512 << 10
)

// State returns the accepted configuration.
func (d *Daemon) State() *yuccastate.State {
	return d.state.Load()
}

// watchNotes follows the platform's release notes for as long as the daemon runs.
func (d *Daemon) watchNotes(ctx context.Context) {
	_ = d.platform.Follow(ctx, yuccastate.NotePrefix, func(page yuccaplat.Page) {
		heard := time.Now()
		d.metrics.platformHeard.Store(&heard)
		notes := make([]yuccastate.PublishedNote, 0, len(page.Entries))
		for _, entry := range page.Entries {
			notes = append(notes, yuccastate.ParsePublished(entry.Key, entry.Value))
		}
		d.control.Post(func(now time.Time) {
			for _, note := range notes {
				d.takeNote(now, note, "platform")
			}
			if !page.More {
				d.heardOf()
			}
		})
	})
}

// watchList reads the platform's list of VMs.
func (d *Daemon) watchList(ctx context.Context) {
	_ = d.platform.FollowVMs(ctx, listEvery, func(vms []yuccaplat.VM) {
		d.control.Post(func(now time.Time) { d.onList(now, vms) })
	})
}

// takeNote offers a published note to the chain and puts an accepted one in force.
func (d *Daemon) takeNote(now time.Time, note yuccastate.PublishedNote, source string) {
	before := d.chain.State()
	verdict, _ := d.chain.OfferPublished(now, note)
	d.auditChain(verdict.Entries, source)
	d.adopt(now, before)
}

// adopt puts a newer configuration in force for every role of this daemon.
func (d *Daemon) adopt(now time.Time, before *yuccastate.State) {
	after := d.chain.State()
	if after == before {
		return
	}
	d.configPull.Received()
	d.state.Store(after)
	d.metrics.configChanged.Store(&now)
	d.onChange(now, d.peers.SetConfig(now, after.Number, after.Digest()))
	d.refreshLeads(now)
}

// auditChain puts what the chain did on the audit trail.
func (d *Daemon) auditChain(entries []yuccastate.Entry, source string) {
	for _, entry := range entries {
		d.metrics.chain(entry.Kind)
		d.audit.add(entry.At, AuditEntry{
			Kind: AuditKind(entry.Kind), Who: entry.By, What: "configuration from " + source, Number: entry.Number,
			Before: entry.Before, After: entry.After, Detail: entry.Detail,
		})
	}
}

// heardOf lets a new process serve once the platform or a peer has told it what is
// in force: one that served before would act on an empty configuration.
func (d *Daemon) heardOf() {
	if d.State().Number > 0 {
		d.ready.Store(true)
	}
}

// pull asks a peer with a higher number for what this daemon lacks. The known peer has one, perhaps
// without having announced it.
func (d *Daemon) pull(now time.Time, known yuccapeer.PeerConfig) {
	if !d.configPull.Due(now, 0) {
		return
	}
	source := d.configPull.Choose(now, known, d.peers.NewerConfigs())
	plan := d.chain.PlanFetch(source.Number)
	if len(plan.Notes) == 0 && !plan.Snapshot {
		return
	}
	_ = d.send(source.Peer, yuccawire.KindNotePull, yuccawire.NotePull{Numbers: plan.Notes, Snapshot: plan.Snapshot})
}

// onNotePull answers with notes, or with the whole state where a text is gone.
func (d *Daemon) onNotePull(from yuccaid.Incarnation, pull yuccawire.NotePull) {
	if pull.Snapshot {
		d.sendSnapshot(from)
		return
	}
	var notes yuccawire.Notes
	size := 0
	for _, number := range pull.Numbers {
		raw, held := d.chain.Note(number)
		if !held {
			d.sendSnapshot(from)
			return
		}
		size += len(raw)
		if size > notesBytes && len(notes.Notes) > 0 {
			break
		}
		notes.Notes = append(notes.Notes, yuccawire.RawNote{Number: number, Raw: raw})
	}
	_ = d.send(from, yuccawire.KindNotes, notes)
}

// readNotes reads a peer's notes on the connection's goroutine: a note of a megabyte
// takes long enough to hold up every decision of control.
func (d *Daemon) readNotes(message yuccawire.Notes) {
	notes := make([]yuccastate.PublishedNote, 0, len(message.Notes))
	for _, note := range message.Notes {
		notes = append(notes, yuccastate.ParsePublished(yuccastate.NoteKey(note.Number), note.Raw))
	}
	d.control.Post(func(now time.Time) {
		for _, note := range notes {
			d.takeNote(now, note, "peer")
		}
		d.heardOf()
	})
}

func (d *Daemon) sendSnapshot(to yuccaid.Incarnation) {
	state := d.State()
	raw, err := yuccastate.EncodeState(state)
	if err != nil {
		d.log.problem("encode configuration", err)
		return
	}
	parts := (len(raw) + snapshotPart - 1) / snapshotPart
	for part := range parts {
		end := min(len(raw), (part+1)*snapshotPart)
		_ = d.send(to, yuccawire.KindSnapshot, yuccawire.Snapshot{
			Number: state.Number, Digest: state.Digest(), Part: part, Parts: parts, Raw: raw[part*snapshotPart : end],
		})
	}
}

// snapshot collects the parts of a peer's configuration.
type snapshot struct {
	number yuccaid.ConfigNumber
	digest yuccaid.Digest
	raw    []byte
	next   int
}

func (d *Daemon) onSnapshot(message yuccawire.Snapshot) {
	if message.Part == 0 {
		d.snapshot = snapshot{number: message.Number, digest: message.Digest}
	}
	if message.Part != d.snapshot.next || message.Digest != d.snapshot.digest {
		return
	}
	d.snapshot.raw = append(d.snapshot.raw, message.Raw...)
	d.snapshot.next++
	if d.snapshot.next < message.Parts {
		return
	}
	taken := d.snapshot
	d.snapshot = snapshot{}
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		d.readSnapshot(taken)
	}()
}

// readSnapshot decodes a whole configuration beside control, which it would hold up.
func (d *Daemon) readSnapshot(taken snapshot) {
	state, err := yuccastate.DecodeState(taken.raw)
	if err != nil {
		d.log.problem("configuration from a peer", err)
		return
	}
	d.control.Post(func(now time.Time) { d.takeState(now, state, taken.digest, "peer") })
}

// takeState puts a whole configuration in force if it is higher than the accepted one.
func (d *Daemon) takeState(now time.Time, state *yuccastate.State, digest yuccaid.Digest, source string) {
	before := d.chain.State()
	verdict, _ := d.chain.Adopt(now, source, state, digest)
	d.auditChain(verdict.Entries, source)
	d.adopt(now, before)
	d.heardOf()
}
