package yuccaid

import "regexp"

// Account names a client account.
type Account string

// Tier names a priority tier; its rank stands in the configuration.
type Tier string

// Pool names the targets of one model or of one plain service, in all data centres.
type Pool string

// Operation names a kind of request that a pool serves.
type Operation string

// Target names one back end.
type Target string

// Centre names a data centre.
type Centre string

// Region names a group of data centres with short links between them.
type Region string

// VM names an entry VM.
type VM string

// Model names a model, adapter or version as the weight store knows it.
type Model string

// ConfigNumber counts accepted release notes; the empty configuration has number 0.
type ConfigNumber uint64

// Digest is a lower-case hex SHA-256 digest.
type Digest string

// namePattern keeps names safe in URLs, request ids, logs and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s may name an object: 1 to 63 lower-case letters,
// digits and hyphens, the first not a hyphen.
func ValidName(s string) bool {
	return namePattern.MatchString(s)
}
