package yuccawire

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquarantine"
)

// Quarantine tells of targets that crashed and of the traits of requests that may be the reason. Times are ages, in
// milliseconds before the message was sent.
type Quarantine struct {
	Crashes []TargetCrash  `msgpack:"crashes,omitempty"`
	Cleared []ClearedTrait `msgpack:"cleared,omitempty"`
	Trials  []TraitTrial   `msgpack:"trials,omitempty"`
	// Experienced reports whether the sender knows of earlier crashes too, if there were any.
	Experienced bool `msgpack:"experienced,omitempty"`
}

// TargetCrash is the unexpected end of a target's process. Traits are those of the runs that may have caused it.
type TargetCrash struct {
	Target      yuccaid.Target          `msgpack:"target"`
	StartMillis int64                   `msgpack:"born"`
	AgeMillis   int64                   `msgpack:"age"`
	Traits      []yuccaquarantine.Trait `msgpack:"parts"`
}

// ClearedTrait is a trait with which a run came far in its answer.
type ClearedTrait struct {
	Trait     yuccaquarantine.Trait `msgpack:"part"`
	AgeMillis int64                 `msgpack:"age"`
}

// TraitTrial is the sending of a request with held traits, the trial of this number of each of them.
type TraitTrial struct {
	Traits    []yuccaquarantine.Trait `msgpack:"parts"`
	AgeMillis int64                   `msgpack:"age"`
	Number    int                     `msgpack:"number"`
}
