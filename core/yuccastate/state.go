package yuccastate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"yuccacleat/core/yuccaid"
)

// State is one accepted configuration. It is immutable: Apply builds a new State, which
// shares with the old one the maps of all kinds that the note does not mention. A reader
// therefore needs no lock and may keep a State indefinitely.
type State struct {
	Number   yuccaid.ConfigNumber
	Centres  map[yuccaid.Centre]Centre
	Links    map[yuccaid.Region]Link
	Tiers    map[yuccaid.Tier]Tier
	Pools    map[yuccaid.Pool]Pool
	Targets  map[yuccaid.Target]Target
	Accounts map[yuccaid.Account]Account
	Policy   Policy

	// sums (digests per kind of object) and credentials (account by credential digest)
	// are derived from the fields above. They are nil in a State built as a struct
	// literal, whose methods then compute them on each call.
	sums        *sums
	credentials map[yuccaid.Digest]yuccaid.Account
}

// Empty returns configuration 0, which the first note is written against. It has no
// objects, and equal weights for goodput and waste.
func Empty() *State {
	empty := &State{Policy: Policy{GoodputWeight: 1, WasteWeight: 1}}
	empty.sums = sumAll(empty)
	empty.credentials = map[yuccaid.Digest]yuccaid.Account{}
	return empty
}

// CredentialDigest returns the SHA-256 of a bearer secret in hex, as Account.Credential
// holds it.
func CredentialDigest(credential string) yuccaid.Digest {
	digest := sha256.Sum256([]byte(credential))
	return yuccaid.Digest(hex.EncodeToString(digest[:]))
}

// AccountOf returns the client account with the given bearer secret, and whether there
// is one.
//
// The secret is hashed before it is compared. The timing of the map look-up may reveal
// how many leading bytes of a digest match, which does not help an attacker to choose
// the next secret to try. The final comparison takes constant time.
func (s *State) AccountOf(credential string) (yuccaid.Account, bool) {
	digest := CredentialDigest(credential)
	name, found := s.credentials[digest]
	if s.credentials == nil {
		name, found = s.searchCredential(digest)
	}
	same := subtle.ConstantTimeCompare([]byte(digest), []byte(s.Accounts[name].Credential)) == 1
	if !found || !same {
		return "", false
	}
	return name, true
}

func (s *State) searchCredential(digest yuccaid.Digest) (yuccaid.Account, bool) {
	for name, acc := range s.Accounts {
		if acc.Credential == digest {
			return name, true
		}
	}
	return "", false
}

// Allowed reports whether the client account may use the target.
func (s *State) Allowed(accountName yuccaid.Account, targetName yuccaid.Target) bool {
	account, known := s.Accounts[accountName]
	target, exists := s.Targets[targetName]
	if !known || !exists || !slices.Contains(account.Pools, target.Pool) {
		return false
	}
	return len(account.Targets) == 0 || slices.Contains(account.Targets, targetName)
}

// SetupOf returns what the target should have loaded: each field from the target's own
// setup if the field is set there, and otherwise from the setup of the target's pool.
func (s *State) SetupOf(name yuccaid.Target) EngineSetup {
	target := s.Targets[name]
	setup, poolSetup := target.Setup, s.Pools[target.Pool].Setup
	if setup.Model == "" {
		setup.Model = poolSetup.Model
	}
	if setup.Version == "" {
		setup.Version = poolSetup.Version
	}
	if len(setup.Adapters) == 0 {
		setup.Adapters = poolSetup.Adapters
	}
	if setup.Role == "" {
		setup.Role = poolSetup.Role
	}
	return setup
}
