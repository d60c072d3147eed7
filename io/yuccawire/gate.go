package yuccawire

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/core/yuccaroster"
)

// TablePull asks a peer for its configuration.
type TablePull struct {
	Have yuccaid.ConfigNumber `msgpack:"have"`
	// Unpacks reports whether the sender can read a compressed configuration.
	Unpacks bool `msgpack:"unpacks"`
}

// TargetsPull asks a peer for all registrations that it knows, if it has heard of a later
// revision.
type TargetsPull struct {
	Have yuccaroster.Revision
}

// Targets are registrations of targets and their ends: all of them, or what has changed.
type Targets struct {
	Entries  []yuccaroster.Entry   `msgpack:"entries"`
	Removals []yuccaroster.Removal `msgpack:"removals"`
	Whole    bool                  `msgpack:"whole"`
	At       yuccaroster.Revision  `msgpack:"at"`
	// Sure says that the platform's service has answered for a while.
	Sure bool `msgpack:"sure"`
}

// TargetsUpdate is the body of KindTargets: Targets, and the revision after which changes were read.
// After is zero if the message holds all registrations and removals up to At, and in messages of older
// builds. Pending are the removals up to At that the sender holds as tentative: entries among Targets that
// end unless they are renewed. These aren't fields of Targets because a Cast carries those in an array, whose
// length older builds compare.
type TargetsUpdate struct {
	Targets
	After   yuccaroster.Revision         `msgpack:"after"`
	Pending []yuccaroster.PendingRemoval `msgpack:"pending"`
}

// Fresh says how old a daemon's news of the platform is, and up to which revision it has
// heard.
type Fresh struct {
	AgeMillis int64
	At        yuccaroster.Revision
}

// Use tells what the sender let accounts in for since it began, or the totals of their
// windows, for a daemon that has just come.
type Use struct {
	// Totals says that a connection has come up, and that the fields below hold something.
	Totals bool
	// Spent is what the sender itself let in since it began: of accounts for which that has
	// changed, or of all.
	Spent []yuccaquota.Usage
	// Mine is the part of Spent within the windows.
	Mine []yuccaquota.Usage
	// All is what everybody let in within them, and Home what the sender's data centre did.
	All  []yuccaquota.UsageByAge
	Home []yuccaquota.UsageByAge
	// Knows says that the sender has been there for a whole window or was told by one that
	// had.
	Knows bool
}

// Topic says what a Cast carries.
type Topic uint8

// The topics of casts.
const (
	// TopicUse tells what a data centre's accounts were let in for, and how many daemons
	// the data centre has.
	TopicUse Topic = iota + 1
	// TopicLoad tells how many runs the leader of a pool has on each target.
	TopicLoad
	// TopicFresh tells how old a daemon's news of the platform is.
	TopicFresh
	// TopicTargets carries changes of targets that a daemon has read from the platform.
	TopicTargets
	// TopicFailures tells on which targets several runs in a row have failed, and which serve again.
	// Older builds ignore it.
	TopicFailures
)

// ForLeaders reports whether casts on the topic concern only the leaders of a pool.
func (topic Topic) ForLeaders() bool { return topic == TopicLoad || topic == TopicFailures }

// Cast is a message from one daemon to all daemons of the other data centres. Those that
// hold a connection between two data centres pass it on; Sequence tells a copy.
type Cast struct {
	Origin   string
	Centre   yuccaid.Centre
	Topic    Topic
	Pool     yuccaid.Pool
	Sequence uint64
	// Use is what the data centre let in since the last cast, and Whole all that it did
	// within the windows, where that is told.
	Use   []yuccaquota.Usage
	Whole []yuccaquota.UsageByAge
	Load  []TargetLoad
	// Part says that Load holds only targets for which something has changed.
	Part bool
	// Daemons is how many daemons the origin's data centre has.
	Daemons int
	// Held are parts of prompts that targets have begun to hold.
	Held []HeldPart
	// VM is the origin's VM, and Fresh its news of the platform, in casts on TopicFresh.
	VM    yuccaid.VM
	Fresh *Fresh
	// Targets are changes of targets, in casts on TopicTargets. In these, Fresh has the revision after
	// which the changes were read.
	Targets *Targets
}

// Seeds has the addresses of the seeds in a data centre that its sender reaches there.
type Seeds struct {
	Centre    yuccaid.Centre
	Addresses []string
}

// HeldPart is a part of prompts that a target holds.
type HeldPart struct {
	Target yuccaid.Target
	Part   PromptPart
}

// TargetLoad is how many runs a data centre has on one target, and how many hundredths of
// the quickest one's time the target takes, zero if that isn't known. In casts on TopicFailures, Runs
// is how many runs in a row have failed, zero once the target serves again.
type TargetLoad struct {
	Target yuccaid.Target
	Runs   int
	Pace   int
}

// Ask brings a waiting request to its pool's leader.
type Ask struct {
	Pool        yuccaid.Pool
	Number      uint64
	Class       uint32
	Tier        int
	Rank        int
	Over        bool
	Prompt      yuccaid.Tokens
	Answer      yuccaid.Tokens
	AimMillis   int64
	UntilMillis int64
	GapMillis   int64
	Tried       []yuccaid.Target
	// Parts are the parts of the prompt that other requests may share, in the order of the prompt.
	Parts []PromptPart
}

// PromptPart is a part of a prompt: the hash of the part and all parts before it, and its size.
type PromptPart struct {
	Hash   uint32
	Tokens int64
}

// Withdrawn takes an ask back.
type Withdrawn struct {
	Pool   yuccaid.Pool
	Number uint64
}

// Placed is a leader's word on an ask: a target, a refusal with a reason, or neither while
// it waits.
type Placed struct {
	Pool       yuccaid.Pool
	Number     uint64
	Target     yuccaid.Target
	Reason     string
	BackMillis int64
	Waiting    int
	Free       int
	WaitMillis int64
	// ExpectMillis is when the first event is expected after the sending, and Busy how many
	// runs the target has.
	ExpectMillis int64
	Busy         int
	// Held is how many tokens of the prompt the target is assumed to hold.
	Held yuccaid.Tokens
	// Fetch is the target from whose cache the target fetches parts of the prompt, or empty.
	Fetch yuccaid.Target
}

// Begun tells a leader that a run's first event came.
type Begun struct {
	Pool      yuccaid.Pool
	Number    uint64
	TookMicro int64
	// Load is the target's own word on its load, running and waiting, or empty.
	Load []int
}

// Ended gives a target's place back and tells how the run went.
type Ended struct {
	Pool       yuccaid.Pool
	Number     uint64
	Outcome    uint8
	FirstMicro int64
	Events     int
	SpanMicro  int64
	PauseMicro int64
	// Load is the target's own word on its load, running and waiting, or empty.
	Load []int
}

// Holding tells a leader of a run that another one granted.
type Holding struct {
	Ask       Ask
	Target    yuccaid.Target
	AgeMillis int64
	Begun     bool
}

// QuotaRequest asks the daemon that leads an account to admit a request, which the sender
// identifies by a number.
type QuotaRequest struct {
	Number  uint64
	Account yuccaid.Account
	// Cost is in units of the account's quota.
	Cost int64
	Rank int
}

// QuotaAnswer is the decision of an account's leader on a QuotaRequest.
type QuotaAnswer struct {
	Number uint64
	// Verdict is empty if the receiver doesn't lead the account and so hasn't decided.
	Verdict    yuccaquota.Verdict
	BackMillis int64
	// Over reports whether the request takes the account beyond its quota.
	Over bool
	// Used and Limit are the account's usage and the limit on which the decision is based.
	Used  int64
	Limit int64
}

// QuotaReturn gives back to an account's leader the cost of an admitted request that didn't run.
type QuotaReturn struct {
	Account yuccaid.Account
	Cost    int64
}
