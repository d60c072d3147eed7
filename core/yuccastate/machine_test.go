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

// daemon is a chain and what the test recorded of it by number: the digests of the
// configurations that it put in force, its alarms, and the digests of the notes that it
// accepted.
type daemon struct {
	name        string
	chain       *yuccastate.Chain
	inForce     map[yuccaid.ConfigNumber]yuccaid.Digest
	alarms      map[yuccaid.ConfigNumber]bool
	noteDigests map[yuccaid.ConfigNumber]yuccaid.Digest
}

// fleet is several daemons and a platform's service that may return any version of a
// key that was ever published, in any order. contested is true once two notes with
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
			inForce: map[yuccaid.ConfigNumber]yuccaid.Digest{}, alarms: map[yuccaid.ConfigNumber]bool{}, noteDigests: map[yuccaid.ConfigNumber]yuccaid.Digest{},
		})
	}
	return fleet
}

// checkEntries records the audit entries, and fails if the daemon put two configurations
// in force under one number or if a refusal changed the configuration.
func (dmn *daemon) checkEntries(t *rapid.T, entries []yuccastate.Entry) {
	for _, entry := range entries {
		advanced := entry.Kind == yuccastate.EntryAccepted || entry.Kind == yuccastate.EntryAdopted
		switch {
		case entry.Kind == yuccastate.EntryAlarm:
			dmn.alarms[entry.Number] = true
		case advanced && (dmn.inForce[entry.Number] != "" || entry.By == ""):
			t.Fatalf("%s put %d in force twice or without an author", dmn.name, entry.Number)
		case advanced:
			dmn.inForce[entry.Number] = entry.After
		case entry.Before != entry.After || entry.Reason == "":
			t.Fatalf("a refusal changed something or has no reason: %+v", entry)
		}
	}
}

// offer offers a note to the daemon's chain and compares the verdict with the oracle's.
func (dmn *daemon) offer(t *rapid.T, number yuccaid.ConfigNumber, raw []byte) {
	before, state := dmn.chain.Number(), dmn.chain.State()
	verdict, err := dmn.chain.Offer(noon, yuccastate.NoteKey(number), raw)
	dmn.checkEntries(t, verdict.Entries)
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

// exchange sends a heartbeat from peer to dmn; dmn then fetches from peer what dmn
// lacks.
func (fleet *fleet) exchange(t *rapid.T, dmn, peer *daemon) {
	number, digest := peer.chain.Number(), peer.chain.Digest()
	relation, entries := dmn.chain.ComparePeer(noon, peer.name, number, digest)
	dmn.checkEntries(t, entries)
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

// adopt sends peer's configuration to dmn as a snapshot.
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
	dmn.checkEntries(t, verdict.Entries)
}

// publish adds a version of the note's key to the platform's service.
func (fleet *fleet) publish(number yuccaid.ConfigNumber, note yuccastate.Note) {
	raw := note.Canonical()
	if fleet.noteDigests[number] == nil {
		fleet.noteDigests[number] = map[yuccaid.Digest]bool{}
	}
	fleet.noteDigests[number][note.Digest()] = true
	fleet.contested = fleet.contested || len(fleet.noteDigests[number]) > 1
	fleet.versions[number] = append(fleet.versions[number], raw)
}

// check fails unless each daemon is at the highest number that it put in force, its
// digest is the same as when it put that number in force, and a digest recomputed from
// its content is equal.
func (fleet *fleet) check(t *rapid.T) {
	for _, dmn := range fleet.daemons {
		state := dmn.chain.State()
		if number := slices.Max(append(slices.Collect(maps.Keys(dmn.inForce)), 0)); number != state.Number {
			t.Fatalf("%s put %d in force and is at %d", dmn.name, number, state.Number)
		}
		if inForce, advanced := dmn.inForce[state.Number]; advanced && inForce != dmn.chain.Digest() {
			t.Fatalf("%s changed what it holds at %d", dmn.name, state.Number)
		}
		recomputed := &yuccastate.State{
			Number: state.Number, Centres: state.Centres, Links: state.Links, Tiers: state.Tiers,
			Pools: state.Pools, Targets: state.Targets, Accounts: state.Accounts, Policy: state.Policy,
		}
		if recomputed.Digest() != dmn.chain.Digest() {
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

// TestFleetNeverReverts guards against a daemon that reverts to an earlier configuration,
// whose targets may have been withdrawn, and against data centres that run different
// configurations without an alarm. Notes arrive
// late, twice and out of order, a stale copy of the platform's service returns old
// content, and two operators publish under one key while the fleet is partitioned.
func TestFleetNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(3)
		pick := func(label string) *daemon { return rapid.SampledFrom(fleet.daemons).Draw(t, label) }
		first := nextNote(yuccastate.Empty(), string(readTestdata("first.yaml")))
		fleet.publish(1, first)
		fleet.daemons[0].offer(t, 1, first.Canonical())
		t.Repeat(map[string]func(*rapid.T){
			"": fleet.check,
			"publish": func(t *rapid.T) {
				current := pick("on").chain.State()
				number := current.Number + yuccaid.ConfigNumber(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "skip"))
				note := drawNote(t, current)
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
		current := fleet.daemons[0].chain.State()
		last := nextNote(current, "changed: {policy: {goodputWeight: 7}}")
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
