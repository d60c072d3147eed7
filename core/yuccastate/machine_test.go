package yuccastate_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

// daemon is a chain, the digests that it put in force by number (promised), the numbers
// of its alarms, and the digests of the notes that it accepted.
type daemon struct {
	name        string
	chain       *yuccastate.Chain
	promised    map[yuccaid.ConfigNumber]yuccaid.Digest
	alarms      map[yuccaid.ConfigNumber]bool
	noteDigests map[yuccaid.ConfigNumber]yuccaid.Digest
}

// fleet is several daemons and a platform's service that may return any version of a
// key that was ever published, in any order. It is contested once two notes with
// different contents were published under one number.
type fleet struct {
	daemons     []*daemon
	versions    map[yuccaid.ConfigNumber][][]byte
	noteDigests map[yuccaid.ConfigNumber]map[yuccaid.Digest]bool
	contested   bool
}

func newFleet(size int) *fleet {
	fleet := &fleet{versions: map[yuccaid.ConfigNumber][][]byte{}, noteDigests: map[yuccaid.ConfigNumber]map[yuccaid.Digest]bool{}}
	for i := range size {
		fleet.daemons = append(fleet.daemons, &daemon{
			name: fmt.Sprint("daemon-", i), chain: yuccastate.NewChain(),
			promised: map[yuccaid.ConfigNumber]yuccaid.Digest{}, alarms: map[yuccaid.ConfigNumber]bool{}, noteDigests: map[yuccaid.ConfigNumber]yuccaid.Digest{},
		})
	}
	return fleet
}

// audit checks that no entry contradicts an earlier one of the daemon.
func (dmn *daemon) audit(t *rapid.T, entries []yuccastate.Entry) {
	for _, entry := range entries {
		moved := entry.Kind == yuccastate.EntryAccepted || entry.Kind == yuccastate.EntryAdopted
		switch {
		case entry.Kind == yuccastate.EntryAlarm:
			dmn.alarms[entry.Number] = true
		case moved && (dmn.promised[entry.Number] != "" || entry.By == ""):
			t.Fatalf("%s put %d in force twice or without an author", dmn.name, entry.Number)
		case moved:
			dmn.promised[entry.Number] = entry.After
		case entry.Before != entry.After || entry.Reason == "":
			t.Fatalf("a refusal changed something or has no reason: %+v", entry)
		}
	}
}

func (dmn *daemon) offer(t *rapid.T, number yuccaid.ConfigNumber, raw []byte) {
	before, state := dmn.chain.Number(), dmn.chain.State()
	verdict, err := dmn.chain.Offer(noon, yuccastate.NoteKey(number), raw)
	dmn.audit(t, verdict.Entries)
	accepted := verdict.Kind == yuccastate.VerdictAccepted
	note, parseErr := yuccastate.ParseNote(raw)
	if parseErr != nil {
		t.Fatalf("published notes parse: %v", parseErr)
	}
	if accepted {
		dmn.noteDigests[number] = note.Digest()
	}
	if number == before+1 {
		want := note.Base == state.Digest() && oracle(state, note)
		if accepted != want || (err == nil) != want {
			t.Fatalf("accepted %v, the oracle says %v: %v\n%s", accepted, want, err, raw)
		}
	} else if kept := dmn.noteDigests[number]; kept != "" && (kept != note.Digest()) != (verdict.Kind == yuccastate.VerdictAlarm) {
		t.Fatalf("another content of note %d gives verdict %s", number, verdict.Kind)
	} else if accepted || dmn.chain.Number() != before {
		t.Fatalf("note %d was accepted at %d", number, before)
	}
}

// exchange sends a heartbeat from peer to dmn, which then fetches what it lacks.
func (fleet *fleet) exchange(t *rapid.T, dmn, peer *daemon) {
	number, digest := peer.chain.Number(), peer.chain.Digest()
	relation, entries := dmn.chain.ComparePeer(noon, peer.name, number, digest)
	dmn.audit(t, entries)
	if number == dmn.chain.Number() && digest != dmn.chain.Digest() {
		if relation != yuccastate.RelationForked || !dmn.alarms[number] {
			t.Fatalf("%s and %s differ at %d without alarm", dmn.name, peer.name, number)
		}
		if !fleet.contested {
			t.Fatalf("a fork although no key was overwritten")
		}
	}
	plan := dmn.chain.PlanFetch(number)
	for _, missing := range plan.Notes {
		raw, kept := peer.chain.Note(missing)
		plan.Snapshot = plan.Snapshot || !kept
		if kept {
			dmn.offer(t, missing, raw)
		}
	}
	if plan.Snapshot {
		fleet.adopt(t, dmn, peer)
	}
}

func (fleet *fleet) adopt(t *rapid.T, dmn, peer *daemon) {
	raw, err := yuccastate.EncodeState(peer.chain.State())
	if err != nil {
		t.Fatal(err)
	}
	state, err := yuccastate.DecodeState(raw)
	if err != nil {
		t.Fatal(err)
	}
	verdict, _ := dmn.chain.Adopt(noon, peer.name, state, peer.chain.Digest())
	dmn.audit(t, verdict.Entries)
}

func (fleet *fleet) publish(number yuccaid.ConfigNumber, note yuccastate.Note) {
	raw := note.Canonical()
	if fleet.noteDigests[number] == nil {
		fleet.noteDigests[number] = map[yuccaid.Digest]bool{}
	}
	fleet.noteDigests[number][note.Digest()] = true
	fleet.contested = fleet.contested || len(fleet.noteDigests[number]) > 1
	fleet.versions[number] = append(fleet.versions[number], raw)
}

func (fleet *fleet) check(t *rapid.T) {
	for _, dmn := range fleet.daemons {
		state := dmn.chain.State()
		if number := slices.Max(append(slices.Collect(maps.Keys(dmn.promised)), 0)); number != state.Number {
			t.Fatalf("%s put %d in force and is at %d", dmn.name, number, state.Number)
		}
		if promised, moved := dmn.promised[state.Number]; moved && promised != dmn.chain.Digest() {
			t.Fatalf("%s changed what it holds at %d", dmn.name, state.Number)
		}
		afresh := &yuccastate.State{
			Number: state.Number, Centres: state.Centres, Links: state.Links, Tiers: state.Tiers,
			Pools: state.Pools, Targets: state.Targets, Accounts: state.Accounts, Policy: state.Policy,
		}
		if afresh.Digest() != dmn.chain.Digest() {
			t.Fatalf("%s carries a digest that its content doesn't have", dmn.name)
		}
	}
}

// settle repeats exchanges between all daemons until all changes have spread.
func (fleet *fleet) settle(t *rapid.T) {
	for range 2 * len(fleet.daemons) {
		for _, dmn := range fleet.daemons {
			for _, peer := range fleet.daemons {
				// If a fetched note is refused, the second exchange fetches a snapshot.
				fleet.exchange(t, dmn, peer)
				fleet.exchange(t, dmn, peer)
			}
		}
	}
	fleet.check(t)
}

// TestFleetNeverReverts guards against a daemon that goes back to withdrawn targets, and
// against data centres that run different configurations without an alarm. Notes arrive
// late, twice and out of order, a stale copy of the platform's service returns old
// content, and two operators publish under one key while the fleet is partitioned.
func TestFleetNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(3)
		pick := func(label string) *daemon { return rapid.SampledFrom(fleet.daemons).Draw(t, label) }
		first := parsed(yuccastate.Empty(), string(read("first.yaml")))
		fleet.publish(1, first)
		fleet.daemons[0].offer(t, 1, first.Canonical())
		t.Repeat(map[string]func(*rapid.T){
			"": fleet.check,
			"publish": func(t *rapid.T) {
				on := pick("on").chain.State()
				number := on.Number + yuccaid.ConfigNumber(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "skip"))
				note := drawNote(t, on)
				note.Number = number
				fleet.publish(number, note)
				pick("to").offer(t, number, note.Canonical())
			},
			"deliver": func(t *rapid.T) {
				number := rapid.SampledFrom(slices.Sorted(maps.Keys(fleet.versions))).Draw(t, "number")
				pick("to").offer(t, number, fleet.versions[number][rapid.IntRange(0, len(fleet.versions[number])-1).Draw(t, "version")])
			},
			"exchange": func(t *rapid.T) { fleet.exchange(t, pick("daemon"), pick("peer")) },
			"snapshot": func(t *rapid.T) { fleet.adopt(t, pick("daemon"), pick("peer")) },
		})
		fleet.settle(t)
		for _, dmn := range fleet.daemons {
			if other := fleet.daemons[0]; dmn.chain.Number() != other.chain.Number() {
				t.Fatalf("%s stays at %d, %s at %d", dmn.name, dmn.chain.Number(), other.name, other.chain.Number())
			}
		}
		// The operators' next note resolves any fork.
		on := fleet.daemons[0].chain.State()
		last := parsed(on, "changed: {policy: {goodputWeight: 7}}")
		for _, dmn := range fleet.daemons {
			dmn.offer(t, last.Number, last.Canonical())
		}
		fleet.settle(t)
		for _, dmn := range fleet.daemons {
			if dmn.chain.Digest() != fleet.daemons[0].chain.Digest() {
				t.Fatalf("%s did not converge", dmn.name)
			}
		}
	})
}
