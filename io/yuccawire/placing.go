package yuccawire

import "yuccacleat/core/yuccaid"

const (
	firstPlacing = KindOffer
	lastPlacing  = KindNotLeader
	firstGate    = KindFresh
	lastGate     = KindQuotaReturn
)

// frequent reports whether messages of the kind go several times for each request or
// second, so that they are written as arrays.
func (kind Kind) frequent() bool {
	switch kind {
	case KindOrigins, KindRegionAsk, KindSends:
		return true
	}
	return kind >= firstPlacing && kind <= lastPlacing || kind >= firstGate && kind <= lastGate
}

// Ref names a request between its owner and a leader. Each message between them is
// about a request of that owner, so its incarnation and signature need not travel: they
// would be four fifths of the bytes of a grant.
type Ref struct {
	Counter uint64
	// Issued is in Unix milliseconds of the owner's clock, as in the request's id.
	Issued int64
}

// Offer brings a waiting request to a pool's leader; times are in milliseconds.
type Offer struct {
	Ref             Ref
	Account         yuccaid.Account
	Pool            yuccaid.Pool
	Rank            int
	Idempotent      bool
	RemainingMillis int64
	Prompt          yuccaid.Tokens
	Answer          yuccaid.Tokens
	Prefixes        []uint64
}

// Withdrawal takes a waiting request back.
type Withdrawal struct {
	Pool yuccaid.Pool
	Ref  Ref
}

// Progress tells a leader how far runs of one owner have come since the last one.
type Progress struct {
	Pool yuccaid.Pool
	Runs []RunProgress
}

// RunProgress is how far one run has come.
type RunProgress struct {
	Ref        Ref
	FirstToken bool
	Answered   yuccaid.Tokens
}

// Finished tells a leader that a grant was used or given back.
type Finished struct {
	Pool          yuccaid.Pool
	Ref           Ref
	Target        yuccaid.Target
	Ending        Ending
	Prompt        yuccaid.Tokens
	Cached        yuccaid.Tokens
	Answer        yuccaid.Tokens
	PrefillMillis int64
	DecodeMillis  int64
}

// Ending says how a grant was used, as a sum of its marks.
type Ending uint8

// The marks of an ending; none stands for a grant that was not used.
const (
	EndingRan Ending = 1 << iota
	EndingRefused
	EndingLeaving
	EndingFailed
	EndingPartial
)

// Hold tells a new leader of a run that is under way.
type Hold struct {
	Offer    Offer
	Target   yuccaid.Target
	Answered yuccaid.Tokens
}

// Grant allows an owner to dispatch one request to one target.
type Grant struct {
	Pool          yuccaid.Pool
	Ref           Ref
	Target        yuccaid.Target
	ExpiresMillis int64
	Number        yuccaid.ConfigNumber
}

// Refusal is the final answer to an offer that gets no grant.
type Refusal struct {
	Pool       yuccaid.Pool
	Ref        Ref
	Reason     string
	BackMillis int64
}

// Cancel tells an owner to stop a running request.
type Cancel struct {
	Pool       yuccaid.Pool
	Ref        Ref
	Target     yuccaid.Target
	Reason     string
	BackMillis int64
}

// NotLeader tells an owner that the sender doesn't lead the pool, and where the leader
// answers, as far as the sender knows.
type NotLeader struct {
	Pool    yuccaid.Pool
	Ref     Ref
	Address string
}
