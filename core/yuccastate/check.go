package yuccastate

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate/yuccayaml"
)

const (
	// longestRunLimit bounds what a lost request keeps a target counted as busy.
	longestRunLimit = 24 * time.Hour
	// slotsLimit catches a slipped digit: an engine runs some hundred at once.
	slotsLimit = 10_000
	// weightLimit keeps sums of weights over all accounts far from overflow.
	weightLimit = 1_000_000
	// delayLimit catches a wrong unit; the longest links take a third of a second.
	delayLimit = time.Minute
	// wordLimit bounds names that are not ours, such as models'.
	wordLimit = 200
	byLimit   = 100

	digestDigits = 64
	nameRemedy   = "use 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen"
)

// checkValues looks at each added and changed object by itself.
func (run *fold) checkValues() {
	add, change := run.note.Added, run.note.Changed
	eachValue(run, KindCentre, add.Centres, change.Centres, run.checkCentre)
	eachValue(run, KindLink, add.Links, change.Links, run.checkLink)
	eachValue(run, KindTier, add.Tiers, change.Tiers, run.checkTier)
	eachValue(run, KindPool, add.Pools, change.Pools, run.checkPool)
	eachValue(run, KindTarget, add.Targets, change.Targets, run.checkTarget)
	eachValue(run, KindAccount, add.Accounts, change.Accounts, run.checkAccount)
	if change.Policy != nil {
		run.checkPolicy("changed.policy", *change.Policy)
	}
}

func eachValue[K ~string, V any](run *fold, kind Kind, added, changed map[K]V, check func(key string, object V)) {
	for name, object := range added {
		key := path(sectionAdded, kind, string(name))
		run.expect(yuccaid.ValidName(string(name)), key, nameRemedy, "%q is no name", name)
		check(key, object)
	}
	for name, object := range changed {
		check(path(sectionChanged, kind, string(name)), object)
	}
}

// expect reports a bad value unless it holds.
func (run *fold) expect(holds bool, key, remedy, detail string, args ...any) {
	if !holds {
		run.problems = append(run.problems, badValue(key, remedy, detail, args...))
	}
}

func (run *fold) expectAmount(amount float64, key string) {
	run.expect(validAmount(amount), key, "write a number from 0 up", "is %v", amount)
}

func (run *fold) expectSet(items []string, key string) {
	slices.Sort(items)
	for i := 1; i < len(items); i++ {
		if items[i] == items[i-1] {
			run.report(yuccayaml.ErrTwice, key, "list it once", "lists %s twice", items[i])
		}
	}
}

func (run *fold) checkCentre(key string, centre Centre) {
	run.expect(yuccaid.ValidName(string(centre.Region)), key+".region", nameRemedy, "%q is no name", centre.Region)
}

func (run *fold) checkLink(key string, link Link) {
	run.expectAmount(link.PricePerGigabyte, key+".pricePerGigabyte")
	inRange := link.Delay >= 0 && link.Delay <= delayLimit
	run.expect(inRange, key+".delay", "write a duration from 0s to "+delayLimit.String(), "is %s", link.Delay)
}

func (run *fold) checkTier(key string, tier Tier) {
	run.expect(tier.Rank >= 0, key+".rank", "write 0 for the most urgent, 1 for the next", "is %d", tier.Rank)
}

func (run *fold) checkPool(key string, pool Pool) {
	known := pool.Kind == PoolModel || pool.Kind == PoolService
	run.expect(known, key+".kind", "write model or service", "is %q", pool.Kind)
	run.expect(len(pool.Operations) > 0, key+".operations", "list at least one and say whether it is idempotent", "is empty")
	for name := range pool.Operations {
		run.expect(yuccaid.ValidName(string(name)), key+".operations."+string(name), nameRemedy, "%q is no name", name)
	}
	inRange := pool.LongestRun > 0 && pool.LongestRun <= longestRunLimit
	run.expect(inRange, key+".longestRun", "write a duration up to "+longestRunLimit.String(), "is %s", pool.LongestRun)
	run.checkWish(key+".wish", pool.Setup)
	wishes := pool.Setup.Model != "" || len(pool.Setup.Adapters) > 0
	run.expect(pool.Kind != PoolService || !wishes, key+".wish", "leave models and adapters out, or make it a model pool", "asks a plain service to load a model")
}

func (run *fold) checkWish(key string, wish EngineSetup) {
	run.expect(validWord(string(wish.Model)), key+".model", wordRemedy(), "is %q", wish.Model)
	run.expect(validWord(wish.Version), key+".version", wordRemedy(), "is %q", wish.Version)
	run.expect(validWord(wish.Role), key+".role", wordRemedy(), "is %q", wish.Role)
	for _, adapter := range wish.Adapters {
		run.expect(adapter != "" && validWord(string(adapter)), key+".adapters", wordRemedy(), "lists %q", adapter)
	}
	run.expectSet(texts(wish.Adapters), key+".adapters")
}

func (run *fold) checkTarget(key string, tgt Target) {
	run.expect(tgt.VM == "" || yuccaid.ValidName(string(tgt.VM)), key+".vm", nameRemedy, "%q is no name", tgt.VM)
	run.expect(ValidAddress(tgt.Address), key+".address", "write an IP number and a port, as 10.0.0.1:8000 or [fd00::1]:8000", "is %q", tgt.Address)
	inRange := tgt.Slots > 0 && tgt.Slots <= slotsLimit
	run.expect(inRange, key+".slots", fmt.Sprintf("write how many requests run at once, 1 to %d", slotsLimit), "is %d", tgt.Slots)
	run.expectAmount(float64(tgt.Prefill), key+".prefill")
	run.expectAmount(float64(tgt.Decode), key+".decode")
	run.expect(tgt.Cache >= 0, key+".cache", "write tokens, 0 for no cache", "is %d", tgt.Cache)
	if run.next.Pools[tgt.Pool].Kind == PoolModel {
		run.expect(tgt.Prefill != 0, key+".prefill", "write the engine's prompt tokens a second", "is 0 in a model pool")
		run.expect(tgt.Decode != 0, key+".decode", "write the engine's answer tokens a second", "is 0 in a model pool")
	}
	run.checkWish(key+".wish", tgt.Setup)
}

func (run *fold) checkAccount(key string, acc Account) {
	run.expect(validDigest(acc.Credential), key+".credential", "write the SHA-256 of the bearer secret in 64 lower-case hex digits", "is not a digest")
	run.expect(len(acc.Tiers) > 0, key+".tiers", "list the tiers that it may use", "is empty")
	run.expect(len(acc.Pools) > 0, key+".pools", "list the pools that it may use", "is empty")
	run.expectSet(texts(acc.Tiers), key+".tiers")
	run.expectSet(texts(acc.Pools), key+".pools")
	run.expectSet(texts(acc.Targets), key+".targets")
	inRange := acc.Weight > 0 && acc.Weight <= weightLimit
	run.expect(inRange, key+".weight", fmt.Sprintf("write its share against other accounts, 1 to %d", weightLimit), "is %d", acc.Weight)
	run.expectAmount(acc.Limits.RequestsPerSecond, key+".limits.requestsPerSecond")
	run.expectAmount(float64(acc.Limits.TokensPerSecond), key+".limits.tokensPerSecond")
	run.expect(acc.Limits.Running >= 0, key+".limits.running", "write a count, 0 for no limit", "is %d", acc.Limits.Running)
}

func (run *fold) checkPolicy(key string, policy Policy) {
	run.expectAmount(policy.GoodputWeight, key+".goodputWeight")
	run.expectAmount(policy.WasteWeight, key+".wasteWeight")
	run.expect(policy != Policy{}, key, "give at least one objective a weight", "weighs nothing")
}

// checkUnique refuses two objects that share what must tell them apart: ranks would
// leave the order of two tiers open, addresses would count one back end's slots
// twice, and a credential would answer for two client accounts.
func (run *fold) checkUnique() {
	add, change, drop, next := run.note.Added, run.note.Changed, run.note.Withdrawn, run.next
	if len(add.Tiers)+len(change.Tiers) > 0 {
		unique(run, KindTier, "rank", next.Tiers, add.Tiers, change.Tiers, func(tier Tier) int { return tier.Rank })
	}
	if len(add.Targets)+len(change.Targets) > 0 {
		unique(run, KindTarget, "address", next.Targets, add.Targets, change.Targets, func(tgt Target) string { return tgt.Address })
	}
	if len(add.Accounts)+len(change.Accounts)+len(drop.Accounts) > 0 || next.credentials == nil {
		next.credentials = unique(run, KindAccount, "credential", next.Accounts, add.Accounts, change.Accounts, func(acc Account) yuccaid.Digest { return acc.Credential })
	}
}

// unique returns which object holds which value. Untouched objects come first, so
// that it is always the note's object that is reported.
func unique[K ~string, V any, I comparable](run *fold, kind Kind, field string, objects, added, changed map[K]V, of func(V) I) map[I]K {
	holders := make(map[I]K, len(objects))
	for name, object := range objects {
		if section(added, changed, name) == "" {
			holders[of(object)] = name
		}
	}
	touched := slices.AppendSeq(slices.Collect(maps.Keys(added)), maps.Keys(changed))
	slices.Sort(touched)
	for _, name := range touched {
		value := of(objects[name])
		if holder, taken := holders[value]; taken && holder != name {
			key := path(section(added, changed, name), kind, string(name)) + "." + field
			run.report(yuccayaml.ErrTwice, key, "give each its own", "is %v, which %s has", value, holder)
			continue
		}
		holders[value] = name
	}
	return holders
}

func texts[T ~string](items []T) []string {
	plain := make([]string, len(items))
	for i, item := range items {
		plain[i] = string(item)
	}
	return plain
}

func validAmount(amount float64) bool {
	return amount >= 0 && !math.IsInf(amount, 0)
}

func validDigest(digest yuccaid.Digest) bool {
	return len(digest) == digestDigits && strings.Trim(string(digest), "0123456789abcdef") == ""
}

func wordRemedy() string {
	return fmt.Sprintf("use up to %d printable characters without spaces", wordLimit)
}

func validWord(word string) bool {
	return len(word) <= wordLimit && printable(word) && !strings.ContainsRune(word, ' ')
}

func validBy(by string) bool {
	return by != "" && len(by) <= byLimit && printable(by)
}

func printable(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}
