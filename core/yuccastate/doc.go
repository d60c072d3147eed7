// Package yuccastate holds the fleet's configuration: data centres, links, tiers,
// pools, targets, client accounts and the policy, and the release notes that change
// them.
//
// A State is one configuration, immutable, with a number and a digest. A Note builds
// on one digest and adds, changes and withdraws objects. Apply folds the note into a
// new State or refuses it, and does so alike on every daemon, since it depends on
// nothing else. A Chain is what one daemon has accepted: it takes notes in any order
// and snapshots from peers, and its number never goes down.
//
//	note, err := yuccastate.ParseNote(raw)      // mistakes by line, key and remedy
//	after, err := before.Apply(note)            // a *Refusal that wraps every reason
//	fmt.Print(yuccastate.Diff(before, after))
//
// The kinds of refusal are sentinels such as ErrBase and ErrReference, found by
// errors.Is; Reason names them in the audit trail.
//
// # What can't hold
//
// Nothing is kept on disk. If every daemon that holds the newest note is gone and the
// platform's service still serves an older one, no process can know that the newer
// note existed. The same holds for the record of what an old number contained: a
// daemon that adopted a snapshot can't tell whether the keys of earlier notes were
// changed since.
package yuccastate
