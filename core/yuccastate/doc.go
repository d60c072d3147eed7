// Package yuccastate holds the fleet's configuration (data centres, links, tiers,
// pools, targets, client accounts and the policy) and the release notes that change it.
//
// A State is one immutable configuration with a number and a digest. A Note names the
// digest of the configuration that it was written against, and adds, changes and
// withdraws objects. Apply returns the State after a note, or a Refusal. The result
// depends on the State and the Note only, so every daemon gets the same result. A Chain
// holds what one daemon has accepted: it takes notes in any order and snapshots from
// peers, and its configuration number never decreases.
//
//	note, err := yuccastate.ParseNote(raw)      // each mistake with line, key and remedy
//	after, err := before.Apply(note)            // a *Refusal that wraps every problem
//	fmt.Print(yuccastate.Diff(before, after))
//
// The kinds of problem are sentinel errors such as ErrBase and ErrReference, to be
// tested with errors.Is; Reason returns their names in the audit trail.
//
// # Limits
//
// Nothing is stored on disk. If every daemon that holds the newest note has stopped and
// the platform's service still serves an older note, no process can find out that the
// newer note existed. A daemon that adopted a snapshot has no digests of the notes that
// the snapshot replaced, so it can't detect that the content published under the keys
// of these notes has changed.
package yuccastate
