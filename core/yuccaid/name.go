package yuccaid

import "regexp"

// Account names a client account.
type Account string

// Tier names a priority tier. The configuration gives its rank.
type Tier string

// Pool names the set of targets, in all data centres, that serve one model, or one
// service that isn't a model.
type Pool string

// Operation names a kind of request that a pool serves.
type Operation string

// Target names one inference engine or service instance, to which requests are sent.
type Target string

// Version names a version of the software that a target runs.
type Version string

// Centre names a data centre.
type Centre string

// Region names a group of data centres with low-latency links between them.
type Region string

// VM names a VM that runs a daemon.
type VM string

// Model is the name of a model, an adapter or a version in the weight store.
type Model string

// PromptPart is the id of a part of a prompt that several requests may share.
type PromptPart string

// ConfigNumber numbers the states of the configuration: how many release notes have
// been accepted. The empty configuration has number 0.
type ConfigNumber uint64

// Digest is a SHA-256 digest in lower-case hex.
type Digest string

// namePattern admits only characters that need no escaping in URLs, request ids, logs
// and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s is a valid name of an object: 1 to 63 lower-case
// letters, digits and hyphens that don't begin with a hyphen.
func ValidName(s string) bool {
	return namePattern.MatchString(s)
}
