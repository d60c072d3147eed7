package yuccapool_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
)

func ExampleLeader() {
	self := yuccaid.NewIncarnation("vm-1", [16]byte{1})
	now := time.Unix(0, 0)
	lead := yuccapool.New("drafts", self, rand.New(rand.NewPCG(1, 2)))
	lead.Configure(now, yuccapool.PoolConfig{
		ConfigNumber: 7,
		Targets:      []yuccapool.Target{{Name: "engine-1", Slots: 8, Prefill: 5000, Decode: 50}},
		Accounts:     map[yuccaid.Account]yuccapool.AccountConfig{"hotline": {Weight: 1}},
	})
	dec := lead.Submit(now, yuccapool.Request{
		ID: "r1", Owner: self, Account: "hotline", Tier: "urgent", Remaining: 10 * time.Second,
		Prompt: 2000, Answer: 200, Idempotent: true,
	})
	for _, grant := range dec.Grants {
		fmt.Println(grant.ID, "runs on", grant.Target)
	}
	// Output: r1 runs on engine-1
}
