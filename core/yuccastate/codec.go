package yuccastate

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapack"
)

// snapshotVersion is increased whenever the encoding changes, so that a daemon with
// another encoding refuses a snapshot instead of misreading it.
const snapshotVersion = 1

// record is one object in a snapshot; Body is the object encoded as MessagePack.
type record struct {
	Kind Kind               `json:"kind"`
	Name string             `json:"name"`
	Body msgpack.RawMessage `json:"body"`
}

// snapshot is an encoded configuration, or part number Index, from 0, of the Count parts
// of a baseline. Form is the version of the encoding.
type snapshot struct {
	Form    int                  `json:"form"`
	Number  yuccaid.ConfigNumber `json:"number"`
	Digest  yuccaid.Digest       `json:"digest"`
	Index   int                  `json:"index"`
	Count   int                  `json:"count"`
	Policy  Policy               `json:"policy"`
	Records []record             `json:"records"`
}

// EncodeState encodes a configuration as a snapshot for a peer; equal configurations give
// equal bytes.
func EncodeState(s *State) ([]byte, error) {
	return encode(snapshot{Form: snapshotVersion, Number: s.Number, Digest: s.Digest(), Count: 1, Policy: s.Policy, Records: s.records()})
}

// DecodeState decodes a snapshot that EncodeState encoded. It checks every object as
// Apply does, and refuses content that does not have the digest in the snapshot.
func DecodeState(raw []byte) (*State, error) {
	snap, err := decodeSnapshot(raw)
	if err != nil {
		return nil, err
	}
	return snap.state()
}

func decodeSnapshot(raw []byte) (snapshot, error) {
	var snap snapshot
	if err := decode(raw, &snap); err != nil {
		return snapshot{}, newRefusal(0, ErrUndecodable, "", "fetch it again", "snapshot can't be read: %v", err)
	}
	if snap.Form != snapshotVersion {
		return snapshot{}, newRefusal(snap.Number, ErrUndecodable, "form", "run one version on both sides", "is %d instead of %d", snap.Form, snapshotVersion)
	}
	return snap, nil
}

// state returns the configuration in a snapshot after checking its objects and digest.
func (snap snapshot) state() (*State, error) {
	objs, err := objectsOf(snap.Records)
	if err != nil {
		return nil, err
	}
	note := Note{Number: snap.Number, Added: objs, Changed: Objects{Policy: &snap.Policy}}
	state, problems := Empty().build(note)
	if len(problems) > 0 {
		problems.Sort()
		return nil, &Refusal{Number: snap.Number, Problems: problems}
	}
	if digest := state.Digest(); digest != snap.Digest {
		return nil, newRefusal(snap.Number, ErrDigest, "digest", "fetch it again from another peer", "is %s, but the content has %s", snap.Digest, digest)
	}
	return state, nil
}

func (s *State) records() []record {
	var all []record
	all = appendRecords(all, KindCentre, s.Centres)
	all = appendRecords(all, KindLink, s.Links)
	all = appendRecords(all, KindTier, s.Tiers)
	all = appendRecords(all, KindPool, s.Pools)
	all = appendRecords(all, KindTarget, s.Targets)
	return appendRecords(all, KindAccount, s.Accounts)
}

func appendRecords[K ~string, V any](all []record, kind Kind, objects map[K]V) []record {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		body, err := encode(objects[name])
		if err != nil {
			panic(fmt.Sprintf("yuccastate: %v", err))
		}
		all = append(all, record{Kind: kind, Name: string(name), Body: body})
	}
	return all
}

// objectsOf decodes the objects in records.
func objectsOf(records []record) (Objects, error) {
	objs := Objects{
		Centres: map[yuccaid.Centre]Centre{}, Links: map[yuccaid.Region]Link{}, Tiers: map[yuccaid.Tier]Tier{},
		Pools: map[yuccaid.Pool]Pool{}, Targets: map[yuccaid.Target]Target{}, Accounts: map[yuccaid.Account]Account{},
	}
	for _, rec := range records {
		if err := objs.add(rec); err != nil {
			return Objects{}, newRefusal(0, ErrUndecodable, string(rec.Kind)+"."+rec.Name, "fetch it again", "can't be read: %v", err)
		}
	}
	return objs, nil
}

func (objs Objects) add(rec record) error {
	switch rec.Kind {
	case KindCentre:
		return addRecord(objs.Centres, rec)
	case KindLink:
		return addRecord(objs.Links, rec)
	case KindTier:
		return addRecord(objs.Tiers, rec)
	case KindPool:
		return addRecord(objs.Pools, rec)
	case KindTarget:
		return addRecord(objs.Targets, rec)
	case KindAccount:
		return addRecord(objs.Accounts, rec)
	default:
		return fmt.Errorf("no such kind: %q", rec.Kind)
	}
}

func addRecord[K ~string, V any](objects map[K]V, rec record) error {
	if _, twice := objects[K(rec.Name)]; twice {
		return fmt.Errorf("stands twice")
	}
	var object V
	err := decode(rec.Body, &object)
	objects[K(rec.Name)] = object
	return err
}

// EncodeMsgpack encodes the operations sorted by name, so that snapshots of one
// configuration are equal byte by byte.
func (ops Operations) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeMapLen(len(ops)); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(ops)) {
		if err := enc.EncodeString(string(name)); err != nil {
			return err
		}
		if err := enc.Encode(ops[name]); err != nil {
			return err
		}
	}
	return nil
}

func encode(from any) ([]byte, error) {
	var out bytes.Buffer
	enc := msgpack.NewEncoder(&out)
	enc.SetCustomStructTag("json")
	enc.UseCompactInts(true)
	err := enc.Encode(from)
	return out.Bytes(), err
}

// decode refuses trailing bytes and unknown fields, because both mean that the sender
// encoded something that this daemon would drop without notice.
func decode(raw []byte, into any) error {
	if err := yuccapack.Check(raw); err != nil {
		return err
	}
	dec := msgpack.NewDecoder(bytes.NewReader(raw))
	dec.SetCustomStructTag("json")
	dec.DisallowUnknownFields(true)
	return dec.Decode(into)
}
