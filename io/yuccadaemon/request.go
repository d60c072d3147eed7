package yuccadaemon

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/core/yuccastate"
)

const (
	// bytesPerToken turns a prompt's length into an estimate of its tokens; engines
	// report the true count with the answer, and only placing uses the estimate.
	bytesPerToken = 4
	// defaultAnswer is assumed when a caller gives no length: a short letter.
	defaultAnswer = yuccaid.Tokens(256)
	// longestDeadline keeps ids, which outlive their requests, within their lifetime.
	longestDeadline = 30 * time.Minute
)

// Request is what a caller asks for.
type Request struct {
	Pool      yuccaid.Pool      `msgpack:"pool" json:"pool"`
	Operation yuccaid.Operation `msgpack:"operation" json:"operation"`
	Tier      yuccaid.Tier      `msgpack:"tier" json:"tier"`
	// DeadlineMillis is the time that remains, so that clocks need not agree.
	DeadlineMillis int64          `msgpack:"deadlineMillis" json:"deadlineMillis"`
	Prompt         string         `msgpack:"prompt" json:"prompt"`
	AnswerTokens   yuccaid.Tokens `msgpack:"answerTokens" json:"answerTokens"`
}

// check refuses what the configuration doesn't know or allow; nothing has run.
func (req Request) check(state *yuccastate.State, acc yuccaid.Account) *Problem {
	account, known := state.Accounts[acc]
	if !known {
		return notRun(KindCredential, "")
	}
	pool, known := state.Pools[req.Pool]
	if !known || !slices.Contains(account.Pools, req.Pool) {
		return notRun(KindUnknownPool, string(req.Pool))
	}
	if _, known := pool.Operations[req.Operation]; !known {
		return notRun(KindUnknownOp, string(req.Operation))
	}
	if _, known := state.Tiers[req.Tier]; !known || !slices.Contains(account.Tiers, req.Tier) {
		return notRun(KindUnknownTier, string(req.Tier))
	}
	if req.DeadlineMillis <= 0 || req.deadline() > longestDeadline {
		return notRun(KindDeadline, "at most "+longestDeadline.String())
	}
	if req.AnswerTokens < 0 {
		return notRun(KindMalformed, "answerTokens is negative")
	}
	return nil
}

func (req Request) deadline() time.Duration {
	return time.Duration(req.DeadlineMillis) * time.Millisecond
}

// claim is what has to agree when the same id is submitted again.
func (req Request) claim(state *yuccastate.State, acc yuccaid.Account) yuccaonce.Submission {
	operation := state.Pools[req.Pool].Operations[req.Operation]
	return yuccaonce.Submission{
		Account:    acc,
		Pool:       req.Pool,
		Operation:  req.Operation,
		Tier:       req.Tier,
		Body:       req.digest(),
		Idempotent: operation.Idempotent,
	}
}

func (req Request) digest() yuccaid.Digest {
	sum := sha256.Sum256([]byte(req.Prompt))
	return yuccaid.Digest(hex.EncodeToString(sum[:]))
}

// ask is the metadata that the pool's leader orders by; the prompt stays here.
func (req Request) ask(state *yuccastate.State, claim yuccaonce.Submission) yuccaqueue.Request {
	answer := req.AnswerTokens
	if answer == 0 {
		answer = defaultAnswer
	}
	return yuccaqueue.Request{
		Account:    claim.Account,
		Tier:       claim.Tier,
		Rank:       state.Tiers[claim.Tier].Rank,
		Pool:       claim.Pool,
		Operation:  claim.Operation,
		Idempotent: claim.Idempotent,
		Prompt:     promptTokens(req.Prompt),
		Answer:     answer,
		Prefixes:   prefixes(req.Prompt),
	}
}

func promptTokens(prompt string) yuccaid.Tokens {
	return yuccaid.Tokens((len(prompt) + bytesPerToken - 1) / bytesPerToken)
}

// prefixes hashes the prompt's beginnings block by block, as engines cache them.
func prefixes(prompt string) []uint64 {
	const block = int(yuccaqueue.BlockTokens) * bytesPerToken
	hash := xxhash.New()
	list := make([]uint64, 0, len(prompt)/block)
	for len(prompt) >= block {
		_, _ = hash.WriteString(prompt[:block])
		list = append(list, hash.Sum64())
		prompt = prompt[block:]
	}
	return list
}

// body is what goes to the target.
func (req Request) body(ask yuccaqueue.Request) ([]byte, error) {
	return json.Marshal(targetBody{
		Prompt:       req.Prompt,
		PromptTokens: ask.Prompt,
		AnswerTokens: ask.Answer,
		Prefixes:     ask.Prefixes,
	})
}

// targetBody is the form in which engines and plain services take a request.
type targetBody struct {
	Prompt       string         `json:"prompt"`
	PromptTokens yuccaid.Tokens `json:"promptTokens"`
	AnswerTokens yuccaid.Tokens `json:"answerTokens"`
	Prefixes     []uint64       `json:"prefixes"`
}

// size is what a held request costs in memory, for the bound on all of them.
func (req Request) size() yuccaid.Bytes {
	return yuccaid.Bytes(len(req.Prompt))
}
