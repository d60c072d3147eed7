package yuccastate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"yuccacleat/core/yuccaid"
)

// State is one accepted configuration. It is immutable: Apply builds a new one,
// which shares the maps of all kinds that the note leaves alone, so a reader may
// keep a State for as long as it likes and needs no lock.
type State struct {
	Number   yuccaid.ConfigNumber
	Centres  map[yuccaid.Centre]Centre
	Links    map[yuccaid.Region]Link
	Tiers    map[yuccaid.Tier]Tier
	Pools    map[yuccaid.Pool]Pool
	Targets  map[yuccaid.Target]Target
	Accounts map[yuccaid.Account]Account
	Policy   Policy

	// sums and credentials are derived; they are nil in a State that was written
	// as a literal, which then computes what it needs afresh.
	sums        *sums
	credentials map[yuccaid.Digest]yuccaid.Account
}

// Empty returns the configuration that the first note builds on: no objects, and
// both objectives weighed alike.
func Empty() *State {
	empty := &State{Policy: Policy{GoodputWeight: 1, WasteWeight: 1}}
	empty.sums = sumAll(empty)
	empty.credentials = map[yuccaid.Digest]yuccaid.Account{}
	return empty
}

// CredentialDigest returns the digest under which a bearer secret is configured.
func CredentialDigest(credential string) yuccaid.Digest {
	sum := sha256.Sum256([]byte(credential))
	return yuccaid.Digest(hex.EncodeToString(sum[:]))
}

// AccountOf returns the client account whose bearer secret is given.
//
// The secret is hashed before anything is compared. The map's look-up may leak
// through its timing how much of a digest agrees, which tells a guesser nothing
// about the next secret to try; the decisive comparison takes constant time.
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
func (s *State) Allowed(acc yuccaid.Account, tgt yuccaid.Target) bool {
	account, known := s.Accounts[acc]
	target, exists := s.Targets[tgt]
	if !known || !exists || !slices.Contains(account.Pools, target.Pool) {
		return false
	}
	return len(account.Targets) == 0 || slices.Contains(account.Targets, tgt)
}

// SetupOf returns what the target shall have loaded: its own wish where it has one,
// else its pool's, field by field.
func (s *State) SetupOf(tgt yuccaid.Target) EngineSetup {
	target := s.Targets[tgt]
	wish, pool := target.Setup, s.Pools[target.Pool].Setup
	if wish.Model == "" {
		wish.Model = pool.Model
	}
	if wish.Version == "" {
		wish.Version = pool.Version
	}
	if len(wish.Adapters) == 0 {
		wish.Adapters = pool.Adapters
	}
	if wish.Role == "" {
		wish.Role = pool.Role
	}
	return wish
}
