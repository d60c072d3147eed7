package yuccaweb

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

// Line is one piece of an answer.
type Line struct {
	ID       yuccaid.RequestText `json:"id"`
	Position int                 `json:"position"`
	Data     string              `json:"data"`
}

// End is the last line of an answer, and what asking for an outcome returns.
//
// Pieces and Hash let a caller see that nothing is missing: the hash is the SHA-256
// of all pieces' data.
type End struct {
	ID      yuccaid.RequestText `json:"id"`
	End     bool                `json:"end"`
	Run     yuccaonce.Run       `json:"run"`
	Reason  yuccaonce.Reason    `json:"reason,omitempty"`
	Partial bool                `json:"partial,omitempty"`
	Pieces  int                 `json:"pieces"`
	Hash    string              `json:"hash,omitempty"`
	// RetryAfterMillis is when a new request makes sense; zero says nothing.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

func endOf(id yuccaid.RequestText, outcome yuccaonce.Outcome) End {
	return End{
		ID: id, End: outcome.Run != yuccaonce.RunWaiting && outcome.Run != yuccaonce.RunRunning,
		Run: outcome.Run, Reason: outcome.Reason, Partial: outcome.Partial,
		Pieces: outcome.Pieces, Hash: outcome.Hash, RetryAfterMillis: outcome.Back.Milliseconds(),
	}
}
