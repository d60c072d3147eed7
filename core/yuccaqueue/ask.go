package yuccaqueue

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// BlockTokens is the number of prompt tokens that one prefix hash covers.
//
// Engines cache in blocks of 16 to 64 tokens. With the coarser blocks of 256 tokens, less
// than one block at the end of each shared prefix isn't recognised as shared. That is a few
// per cent of a long shared text such as a rulebook. In return, the message for a prompt of
// 30,000 tokens stays near one kilobyte.
const BlockTokens yuccaid.Tokens = 256

// Request is what a pool's leader knows of a waiting request.
//
// Rank is the rank of the tier; rank 0 is served first. Remaining is the time left until
// the deadline. It is sent instead of the deadline itself, because clocks of different VMs
// are never compared.
// Prompt and Answer are the owner's estimates of the lengths in tokens. Prefixes[i] is
// the hash of the first (i+1)*BlockTokens tokens of the prompt.
type Request struct {
	ID         yuccaid.RequestID   `msgpack:"id"`
	Owner      yuccaid.Incarnation `msgpack:"owner"`
	Account    yuccaid.Account     `msgpack:"account"`
	Tier       yuccaid.Tier        `msgpack:"tier"`
	Rank       int                 `msgpack:"rank"`
	Pool       yuccaid.Pool        `msgpack:"pool"`
	Operation  yuccaid.Operation   `msgpack:"operation"`
	Idempotent bool                `msgpack:"idempotent"`
	Remaining  time.Duration       `msgpack:"remaining"`
	Prompt     yuccaid.Tokens      `msgpack:"prompt"`
	Answer     yuccaid.Tokens      `msgpack:"answer"`
	Prefixes   []uint64            `msgpack:"prefixes"`
	Centre     yuccaid.Centre      `msgpack:"centre"`
}

// Tokens returns the length of the prompt and the answer together.
func (req *Request) Tokens() yuccaid.Tokens {
	return req.Prompt + req.Answer
}
