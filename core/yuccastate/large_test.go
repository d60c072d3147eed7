package yuccastate_test

import (
	"fmt"
	"sync"
	"testing"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

// The fleet that the configuration has to be cheap for.
const (
	largeAccounts = 1600
	largeTargets  = 1800
)

// largeState builds the largest fleet: 14 data centres, 28 pools, 5 tiers.
var largeState = sync.OnceValue(func() *yuccastate.State {
	note := yuccastate.Note{Number: 1, Base: yuccastate.Empty().Digest(), By: "anna", Added: yuccastate.Objects{
		Centres:  map[yuccaid.Centre]yuccastate.Centre{},
		Tiers:    map[yuccaid.Tier]yuccastate.Tier{},
		Pools:    map[yuccaid.Pool]yuccastate.Pool{},
		Targets:  map[yuccaid.Target]yuccastate.Target{},
		Accounts: map[yuccaid.Account]yuccastate.Account{},
	}}
	for i := range 14 {
		note.Added.Centres[name[yuccaid.Centre]("centre", i)] = yuccastate.Centre{Region: name[yuccaid.Region]("region", i/3)}
	}
	for i := range 5 {
		note.Added.Tiers[name[yuccaid.Tier]("tier", i)] = yuccastate.Tier{Rank: i}
	}
	for i := range 28 {
		note.Added.Pools[name[yuccaid.Pool]("pool", i)] = yuccastate.Pool{
			Kind: yuccastate.PoolModel, LongestRun: 1, Wish: yuccastate.Wish{Model: "drafter", Version: "1.10"},
			Operations: yuccastate.Operations{"draft": {Idempotent: true}, "book": {}},
		}
	}
	for i := range largeTargets {
		note.Added.Targets[name[yuccaid.Target]("target", i)] = yuccastate.Target{
			Pool: name[yuccaid.Pool]("pool", i%28), Centre: name[yuccaid.Centre]("centre", i%14), Slots: 8,
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Prefill: 4000, Decode: 60, Cache: 200_000,
		}
	}
	for i := range largeAccounts {
		note.Added.Accounts[name[yuccaid.Account]("account", i)] = yuccastate.Account{
			Credential: yuccastate.CredentialDigest(fmt.Sprint(i)), Weight: 1 + i%9,
			Tiers: []yuccaid.Tier{"tier-0", "tier-4"}, Pools: []yuccaid.Pool{name[yuccaid.Pool]("pool", i%28), name[yuccaid.Pool]("pool", (i+1)%28)},
		}
	}
	state, err := yuccastate.Empty().Apply(note)
	if err != nil {
		panic(err)
	}
	return state
})

func name[T ~string](kind string, i int) T {
	return T(fmt.Sprint(kind, "-", i))
}

// BenchmarkFold measures what one note costs each daemon of the largest fleet.
func BenchmarkFold(b *testing.B) {
	on := largeState()
	for _, edit := range []string{
		"changed: {policy: {goodputWeight: 2}}",
		"withdrawn: {targets: [target-7]}",
		"withdrawn: {accounts: [account-7]}",
	} {
		note := parsed(on, edit)
		b.Run(edit, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				after, err := on.Apply(note)
				if err != nil {
					b.Fatal(err)
				}
				after.Digest()
			}
		})
	}
}

// BenchmarkAccountOf measures what recognising a caller costs each request.
func BenchmarkAccountOf(b *testing.B) {
	on := largeState()
	for b.Loop() {
		if _, known := on.AccountOf("7"); !known {
			b.Fatal("unknown")
		}
	}
}

// BenchmarkDecodeState measures what a new process pays for its first configuration.
func BenchmarkDecodeState(b *testing.B) {
	raw, err := yuccastate.EncodeState(largeState())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "bytes")
	for b.Loop() {
		if _, err := yuccastate.DecodeState(raw); err != nil {
			b.Fatal(err)
		}
	}
}
