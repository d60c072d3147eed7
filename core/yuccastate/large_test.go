package yuccastate_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"yuccacleat/core/yuccastate"
)

// The numbers of accounts and targets of the largest fleet to be supported.
const (
	largeAccounts = 1600
	largeTargets  = 1800
)

// largeText is the first note of the largest fleet: 14 data centres, 28 pools.
var largeText = sync.OnceValue(func() string {
	var text strings.Builder
	list := func(kind string, count int, object func(i int) string) {
		fmt.Fprintf(&text, "  %ss:\n", kind)
		for i := range count {
			fmt.Fprintf(&text, "    %s-%d: {%s}\n", kind, i, object(i))
		}
	}
	text.WriteString("added:\n")
	list("centre", 14, func(i int) string { return fmt.Sprintf("region: region-%d", i/3) })
	list("tier", 5, func(i int) string { return fmt.Sprintf("rank: %d", i) })
	list("pool", 28, func(int) string {
		return "kind: model, operations: {draft: {idempotent: true}, book: {}}, longestRun: 2m, wish: {model: drafter, version: 1.10}"
	})
	list("target", largeTargets, func(i int) string {
		return fmt.Sprintf(`pool: pool-%d, centre: centre-%d, slots: 8, address: "10.1.%d.%d:8000", prefill: 4000, decode: 60, cache: 200000`, i%28, i%14, i/250, i%250)
	})
	list("account", largeAccounts, func(i int) string {
		return fmt.Sprintf("credential: %s, weight: 1, tiers: [tier-0, tier-4], pools: [pool-%d, pool-%d]", yuccastate.CredentialDigest(fmt.Sprint(i)), i%28, (i+1)%28)
	})
	return text.String()
})

// largeState is the configuration after largeText.
var largeState = sync.OnceValue(func() *yuccastate.State {
	state, err := yuccastate.Empty().Apply(nextNote(yuccastate.Empty(), largeText()))
	if err != nil {
		panic(err)
	}
	return state
})

// BenchmarkFold measures applying one note to the configuration of the largest fleet.
func BenchmarkFold(b *testing.B) {
	current := largeState()
	for _, edit := range []string{
		"changed: {policy: {goodputWeight: 2}}",
		"withdrawn: {targets: [target-7]}",
		"withdrawn: {accounts: [account-7]}",
	} {
		note := nextNote(current, edit)
		b.Run(edit, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				after, err := current.Apply(note)
				if err != nil {
					b.Fatal(err)
				}
				after.Digest()
			}
		})
	}
}

// BenchmarkParseNote measures parsing the first note of the largest fleet.
func BenchmarkParseNote(b *testing.B) {
	b.SetBytes(int64(len(largeText())))
	for b.Loop() {
		nextNote(yuccastate.Empty(), largeText())
	}
}

// BenchmarkAccountOf measures finding the account of a request by its bearer secret.
func BenchmarkAccountOf(b *testing.B) {
	current := largeState()
	for b.Loop() {
		if _, known := current.AccountOf("7"); !known {
			b.Fatal("unknown")
		}
	}
}

// BenchmarkDecodeState measures decoding the snapshot that a new process starts with.
func BenchmarkDecodeState(b *testing.B) {
	raw, err := yuccastate.EncodeState(largeState())
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		if _, err := yuccastate.DecodeState(raw); err != nil {
			b.Fatal(err)
		}
	}
}
