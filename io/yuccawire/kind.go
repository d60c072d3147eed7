package yuccawire

import "strconv"

// Kind says what a frame's body is.
type Kind uint8

// The kinds of messages; their numbers are the protocol and never change meaning.
const (
	KindHello     Kind = 1
	KindProof     Kind = 2
	KindHeartbeat Kind = 3
	KindPulse     Kind = 4
	KindKeepAlive Kind = 5
	KindBye       Kind = 6
	KindRoster    Kind = 7
)

// The messages between daemons, by role.
const (
	// KindOffer carries an Offer from an owner to a pool's leader.
	KindOffer Kind = iota + 16
	// KindWithdraw carries a Withdrawal from an owner to a pool's leader.
	KindWithdraw
	// KindProgress carries a Progress from an owner to a pool's leader.
	KindProgress
	// KindFinished carries a Finished from an owner to a pool's leader.
	KindFinished
	// KindHold carries a Hold from an owner to a new leader.
	KindHold
	// KindGrant carries a Grant from a leader to an owner.
	KindGrant
	// KindRefusal carries a Refusal from a leader to an owner.
	KindRefusal
	// KindCancel carries a Cancel from a leader to an owner.
	KindCancel
	// KindNotLeader carries a NotLeader from a daemon that was taken for a leader.
	KindNotLeader
	// KindNotePull carries a NotePull to a peer with a newer configuration.
	KindNotePull
	// KindNotes carries Notes in answer to a NotePull.
	KindNotes
	// KindSnapshot carries a Snapshot in answer to a NotePull that reaches too far back.
	KindSnapshot
	// KindSubmit carries a Submission to a request's owner on a traffic connection.
	KindSubmit
	// KindPiece carries a piece of an answer to a forwarder.
	KindPiece
	// KindEnd carries an End, after which the answer is over.
	KindEnd
	// KindFollow carries a Follow, which asks for an answer or an outcome.
	KindFollow
	// KindAbort carries an Abort, with which a caller gives up a request.
	KindAbort
)

// The messages between gateways, by role.
const (
	// KindTablePull carries a TablePull to a peer with a newer configuration.
	KindTablePull Kind = iota + 64
	// KindTable carries a Table in answer to a TablePull.
	KindTable
	// KindTargetsPull carries a TargetsPull to a peer that follows the platform.
	KindTargetsPull
	// KindTargets carries Targets, whole in answer to a TargetsPull or what has changed.
	KindTargets
	// KindFresh carries a Fresh from a daemon that follows the platform for others.
	KindFresh
	// KindUse carries a Use, what accounts were let in for.
	KindUse
	// KindCast carries a Cast from one data centre to the daemons of the others.
	KindCast
	// KindAsk carries an Ask from the daemon that holds a request to its pool's leader.
	KindAsk
	// KindWithdrawn carries a Withdrawn: the ask's caller left.
	KindWithdrawn
	// KindPlaced carries a Placed, a leader's word on an ask.
	KindPlaced
	// KindBegun carries a Begun: the first event of a run came.
	KindBegun
	// KindEnded carries an Ended, which gives a target's place back.
	KindEnded
	// KindHolding carries a Holding, which tells a leader of a run that it didn't grant.
	KindHolding
	// KindQuotaRequest carries a QuotaRequest to the daemon that leads an account.
	KindQuotaRequest
	// KindQuotaAnswer carries a QuotaAnswer, the leader's decision on a QuotaRequest.
	KindQuotaAnswer
	// KindQuotaReturn carries a QuotaReturn: an admitted request didn't run.
	KindQuotaReturn
	// KindVersionAsk carries a VersionAsk from the daemon that holds a request to its pool's leader.
	KindVersionAsk
	// KindOrigins carries Origins, where streams began, to daemons that remember it.
	KindOrigins
	// KindOriginQuery carries an OriginQuery to such a daemon.
	KindOriginQuery
	// KindOriginAnswer carries an OriginAnswer.
	KindOriginAnswer
	// KindSeeds carries Seeds from one data centre to the daemons of the others. Older builds ignore it.
	KindSeeds
	// KindQuarantine carries a Quarantine to all other daemons. Older builds ignore it.
	KindQuarantine
	// KindRegionAsk carries a RegionAsk from the daemon that holds a request to its pool's leader.
	KindRegionAsk
	// KindHoldingQuery carries a HoldingQuery to the daemon that asks the targets of a shard. Older builds ignore it.
	KindHoldingQuery
	// KindHoldingAnswer carries a HoldingAnswer.
	KindHoldingAnswer
	// KindSends carries Sends from a pool's leader to the daemon that would lead next. Older builds ignore it.
	KindSends
)

var kindNames = map[Kind]string{
	KindHello:     "hello",
	KindProof:     "proof",
	KindHeartbeat: "heartbeat",
	KindPulse:     "pulse",
	KindKeepAlive: "keepAlive",
	KindBye:       "bye",
	KindRoster:    "roster",
	KindOffer:     "offer",
	KindWithdraw:  "withdraw",
	KindProgress:  "progress",
	KindFinished:  "finished",
	KindHold:      "hold",
	KindGrant:     "grant",
	KindRefusal:   "refusal",
	KindCancel:    "cancel",
	KindNotLeader: "notLeader",
	KindNotePull:  "notePull",
	KindNotes:     "notes",
	KindSnapshot:  "snapshot",
	KindSubmit:    "submit",
	KindPiece:     "piece",
	KindEnd:       "end",
	KindFollow:    "follow",
	KindAbort:     "abort",

	KindTablePull:   "tablePull",
	KindTable:       "table",
	KindTargetsPull: "targetsPull",
	KindTargets:     "targets",
	KindFresh:       "fresh",
	KindUse:         "use",
	KindCast:        "cast",
	KindAsk:         "ask",
	KindWithdrawn:   "withdrawn",
	KindPlaced:      "placed",
	KindBegun:       "begun",
	KindEnded:       "ended",
	KindHolding:     "holding",

	KindQuotaRequest: "quotaRequest",
	KindQuotaAnswer:  "quotaAnswer",
	KindQuotaReturn:  "quotaReturn",

	KindVersionAsk:   "versionAsk",
	KindOrigins:      "origins",
	KindOriginQuery:  "originQuery",
	KindOriginAnswer: "originAnswer",

	KindSeeds: "seeds",

	KindQuarantine: "quarantine",

	KindRegionAsk:     "regionAsk",
	KindHoldingQuery:  "holdingQuery",
	KindHoldingAnswer: "holdingAnswer",
	KindSends:         "sends",
}

// String returns the kind's name in logs and metrics, or its number.
func (kind Kind) String() string {
	if name, ok := kindNames[kind]; ok {
		return name
	}
	return "kind" + strconv.Itoa(int(kind))
}
