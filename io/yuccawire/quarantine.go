package yuccawire

import "yuccacleat/core/yuccaid"

// Quarantine tells of targets that crashed and of the parts of prompts that may be the reason. Times are ages, in
// milliseconds before the message was sent.
type Quarantine struct {
	Crashes []TargetCrash `msgpack:"crashes,omitempty"`
	Cleared []ClearedPart `msgpack:"cleared,omitempty"`
	Trials  []PartTrial   `msgpack:"trials,omitempty"`
	// Experienced reports whether the sender knows of earlier crashes too, if there were any.
	Experienced bool `msgpack:"experienced,omitempty"`
}

// TargetCrash is the unexpected end of a target's process. Parts are those of the runs that may have caused it.
type TargetCrash struct {
	Target      yuccaid.Target       `msgpack:"target"`
	StartMillis int64                `msgpack:"born"`
	AgeMillis   int64                `msgpack:"age"`
	Parts       []yuccaid.PromptPart `msgpack:"parts"`
}

// ClearedPart is a part with which a run came far in its answer.
type ClearedPart struct {
	Part      yuccaid.PromptPart `msgpack:"part"`
	AgeMillis int64              `msgpack:"age"`
}

// PartTrial is the sending of a request with held parts, the trial of this number of each of them.
type PartTrial struct {
	Parts     []yuccaid.PromptPart `msgpack:"parts"`
	AgeMillis int64                `msgpack:"age"`
	Number    int                  `msgpack:"number"`
}
