package yuccastate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"yuccacleat/core/yuccaid"
)

// digestVersion is hashed first, so that a digest computed by a later method can never
// equal a digest computed by this method.
const digestVersion = "yuccacleat configuration 1"

// sum is a SHA-256 digest in binary form; yuccaid.Digest is the form in hex.
type sum [sha256.Size]byte

// kindSum holds the digest over all objects of a kind, and the digest of each by name.
// A note concerns a few objects out of thousands. Only these few are encoded and hashed
// again, and the digests of all other objects are reused.
type kindSum struct {
	objects map[string]sum
	all     sum
}

// sums holds the digests of a State by kind of object.
type sums struct {
	centres, links, tiers, pools, targets, accounts kindSum
}

// touchedNames holds the names of the objects that a note adds, changes or withdraws.
type touchedNames struct {
	centres  []yuccaid.Centre
	links    []yuccaid.Region
	tiers    []yuccaid.Tier
	pools    []yuccaid.Pool
	targets  []yuccaid.Target
	accounts []yuccaid.Account
}

func sumAll(s *State) *sums {
	return &sums{
		centres:  sumKind(s.Centres, nil, kindSum{}),
		links:    sumKind(s.Links, nil, kindSum{}),
		tiers:    sumKind(s.Tiers, nil, kindSum{}),
		pools:    sumKind(s.Pools, nil, kindSum{}),
		targets:  sumKind(s.Targets, nil, kindSum{}),
		accounts: sumKind(s.Accounts, nil, kindSum{}),
	}
}

// sumTouched returns the digests of after, of which only the touched objects differ from
// before.
func sumTouched(before, after *State, touched touchedNames) *sums {
	old := before.sums
	if old == nil {
		old = sumAll(before)
	}
	return &sums{
		centres:  sumKind(after.Centres, touched.centres, old.centres),
		links:    sumKind(after.Links, touched.links, old.links),
		tiers:    sumKind(after.Tiers, touched.tiers, old.tiers),
		pools:    sumKind(after.Pools, touched.pools, old.pools),
		targets:  sumKind(after.Targets, touched.targets, old.targets),
		accounts: sumKind(after.Accounts, touched.accounts, old.accounts),
	}
}

// sumKind hashes the objects in touched, and takes the digests of all other objects
// from before. If before is the zero value, it hashes all objects.
func sumKind[K ~string, V any](objects map[K]V, touched []K, before kindSum) kindSum {
	if before.objects != nil && len(touched) == 0 {
		return before
	}
	after := kindSum{objects: maps.Clone(before.objects)}
	if before.objects == nil {
		after.objects = make(map[string]sum, len(objects))
		touched = slices.Collect(maps.Keys(objects))
	}
	for _, name := range touched {
		delete(after.objects, string(name))
		if object, exists := objects[name]; exists {
			after.objects[string(name)] = sha256.Sum256(canonical(object))
		}
	}
	after.all = sumObjects(after.objects)
	return after
}

// sumObjects returns the digest over the names and digests of objects, sorted by name.
func sumObjects(objects map[string]sum) sum {
	text := make([]byte, 0, len(objects)*2*sha256.Size)
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		objectSum := objects[name]
		text = append(text, name...)
		text = append(text, 0)
		text = append(text, objectSum[:]...)
	}
	return sha256.Sum256(text)
}

// canonical encodes an object as JSON with fields in the order of the struct and maps
// sorted by key, so that equal objects give equal bytes.
func canonical(object any) []byte {
	text, err := json.Marshal(object)
	if err != nil {
		// Only a float that is not finite can't be encoded, and Apply refuses such
		// floats.
		panic(fmt.Sprintf("yuccastate: %v", err))
	}
	return text
}

// Digest returns the digest of the number, the policy and all objects. Two states have
// the same digest if and only if they are equal, whichever notes led to them.
func (s *State) Digest() yuccaid.Digest {
	kindSums := s.sums
	if kindSums == nil {
		kindSums = sumAll(s)
	}
	hash := sha256.New()
	fmt.Fprintf(hash, "%s\n%d\n%s\n", digestVersion, s.Number, canonical(s.Policy))
	for _, kind := range []kindSum{kindSums.centres, kindSums.links, kindSums.tiers, kindSums.pools, kindSums.targets, kindSums.accounts} {
		hash.Write(kind.all[:])
	}
	return yuccaid.Digest(hex.EncodeToString(hash.Sum(nil)))
}
