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
	// longestRunLimit bounds a pool's LongestRun, which is how long a lost request still
	// occupies a slot of its target.
	longestRunLimit = 24 * time.Hour
	// slotsLimit catches a mistyped number: an engine runs some hundred requests at once.
	slotsLimit = 10_000
	// weightLimit keeps the sum of the weights of all accounts far from overflow.
	weightLimit = 1_000_000
	// delayLimit catches a wrong unit: the longest links take a third of a second.
	delayLimit = time.Minute
	// externalNameLimit bounds names that are not defined by the configuration, such as
	// those of models, in bytes.
	externalNameLimit = 200
	// authorLimit bounds the author of a note, in bytes.
	authorLimit = 100

	// digestDigits is the length of a SHA-256 digest in hex.
	digestDigits = 64
	nameRemedy   = "use 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen"
)

// checkValues checks the fields of each added and changed object.
func (bld *builder) checkValues() {
	add, change := bld.note.Added, bld.note.Changed
	checkObjects(bld, KindCentre, add.Centres, change.Centres, bld.checkCentre)
	checkObjects(bld, KindLink, add.Links, change.Links, bld.checkLink)
	checkObjects(bld, KindTier, add.Tiers, change.Tiers, bld.checkTier)
	checkObjects(bld, KindPool, add.Pools, change.Pools, bld.checkPool)
	checkObjects(bld, KindTarget, add.Targets, change.Targets, bld.checkTarget)
	checkObjects(bld, KindAccount, add.Accounts, change.Accounts, bld.checkAccount)
	if change.Policy != nil {
		bld.checkPolicy("changed.policy", *change.Policy)
	}
}

func checkObjects[K ~string, V any](bld *builder, kind Kind, added, changed map[K]V, check func(key string, object V)) {
	for name, object := range added {
		key := objectKey(sectionAdded, kind, string(name))
		bld.expect(yuccaid.ValidName(string(name)), key, nameRemedy, "%q is no name", name)
		check(key, object)
	}
	for name, object := range changed {
		check(objectKey(sectionChanged, kind, string(name)), object)
	}
}

// expect reports a bad value unless valid is true.
func (bld *builder) expect(valid bool, key, remedy, detail string, args ...any) {
	if !valid {
		bld.problems = append(bld.problems, badValue(key, remedy, detail, args...))
	}
}

func (bld *builder) expectAmount(amount float64, key string) {
	bld.expect(validAmount(amount), key, "write a number from 0 up", "is %v", amount)
}

// expectDistinct reports items that occur twice; it sorts items in place.
func (bld *builder) expectDistinct(items []string, key string) {
	slices.Sort(items)
	for i := 1; i < len(items); i++ {
		if items[i] == items[i-1] {
			bld.report(yuccayaml.ErrTwice, key, "list it once", "lists %s twice", items[i])
		}
	}
}

func (bld *builder) checkCentre(key string, centre Centre) {
	bld.expect(yuccaid.ValidName(string(centre.Region)), key+".region", nameRemedy, "%q is no name", centre.Region)
}

func (bld *builder) checkLink(key string, link Link) {
	bld.expectAmount(link.PricePerGigabyte, key+".pricePerGigabyte")
	inRange := link.Delay >= 0 && link.Delay <= delayLimit
	bld.expect(inRange, key+".delay", "write a duration from 0s to "+delayLimit.String(), "is %s", link.Delay)
}

func (bld *builder) checkTier(key string, tier Tier) {
	bld.expect(tier.Rank >= 0, key+".rank", "write 0 for the most urgent, 1 for the next", "is %d", tier.Rank)
}

func (bld *builder) checkPool(key string, pool Pool) {
	known := pool.Kind == PoolModel || pool.Kind == PoolService
	bld.expect(known, key+".kind", "write model or service", "is %q", pool.Kind)
	bld.expect(len(pool.Operations) > 0, key+".operations", "list at least one and say whether it is idempotent", "is empty")
	for name := range pool.Operations {
		bld.expect(yuccaid.ValidName(string(name)), key+".operations."+string(name), nameRemedy, "%q is no name", name)
	}
	inRange := pool.LongestRun > 0 && pool.LongestRun <= longestRunLimit
	bld.expect(inRange, key+".longestRun", "write a duration up to "+longestRunLimit.String(), "is %s", pool.LongestRun)
	bld.checkSetup(key+".wish", pool.Setup)
	namesModel := pool.Setup.Model != "" || len(pool.Setup.Adapters) > 0
	bld.expect(pool.Kind != PoolService || !namesModel, key+".wish", "leave models and adapters out, or make it a model pool", "asks a plain service to load a model")
}

func (bld *builder) checkSetup(key string, setup EngineSetup) {
	bld.expect(validExternalName(string(setup.Model)), key+".model", externalNameRemedy(), "is %q", setup.Model)
	bld.expect(validExternalName(setup.Version), key+".version", externalNameRemedy(), "is %q", setup.Version)
	bld.expect(validExternalName(setup.Role), key+".role", externalNameRemedy(), "is %q", setup.Role)
	for _, adapter := range setup.Adapters {
		bld.expect(adapter != "" && validExternalName(string(adapter)), key+".adapters", externalNameRemedy(), "lists %q", adapter)
	}
	bld.expectDistinct(toStrings(setup.Adapters), key+".adapters")
}

func (bld *builder) checkTarget(key string, tgt Target) {
	bld.expect(tgt.VM == "" || yuccaid.ValidName(string(tgt.VM)), key+".vm", nameRemedy, "%q is no name", tgt.VM)
	bld.expect(ValidAddress(tgt.Address), key+".address", "write an IP number and a port, as 10.0.0.1:8000 or [fd00::1]:8000", "is %q", tgt.Address)
	inRange := tgt.Slots > 0 && tgt.Slots <= slotsLimit
	bld.expect(inRange, key+".slots", fmt.Sprintf("write how many requests run at once, 1 to %d", slotsLimit), "is %d", tgt.Slots)
	bld.expectAmount(float64(tgt.Prefill), key+".prefill")
	bld.expectAmount(float64(tgt.Decode), key+".decode")
	bld.expect(tgt.Cache >= 0, key+".cache", "write tokens, 0 for no cache", "is %d", tgt.Cache)
	if bld.next.Pools[tgt.Pool].Kind == PoolModel {
		bld.expect(tgt.Prefill != 0, key+".prefill", "write the engine's prompt tokens a second", "is 0 in a model pool")
		bld.expect(tgt.Decode != 0, key+".decode", "write the engine's answer tokens a second", "is 0 in a model pool")
	}
	bld.checkSetup(key+".wish", tgt.Setup)
}

func (bld *builder) checkAccount(key string, acc Account) {
	bld.expect(validDigest(acc.Credential), key+".credential", "write the SHA-256 of the bearer secret in 64 lower-case hex digits", "is not a digest")
	bld.expect(len(acc.Tiers) > 0, key+".tiers", "list the tiers that it may use", "is empty")
	bld.expect(len(acc.Pools) > 0, key+".pools", "list the pools that it may use", "is empty")
	bld.expectDistinct(toStrings(acc.Tiers), key+".tiers")
	bld.expectDistinct(toStrings(acc.Pools), key+".pools")
	bld.expectDistinct(toStrings(acc.Targets), key+".targets")
	inRange := acc.Weight > 0 && acc.Weight <= weightLimit
	bld.expect(inRange, key+".weight", fmt.Sprintf("write its share against other accounts, 1 to %d", weightLimit), "is %d", acc.Weight)
	bld.expectAmount(acc.Limits.RequestsPerSecond, key+".limits.requestsPerSecond")
	bld.expectAmount(float64(acc.Limits.TokensPerSecond), key+".limits.tokensPerSecond")
	bld.expect(acc.Limits.Running >= 0, key+".limits.running", "write a count, 0 for no limit", "is %d", acc.Limits.Running)
}

func (bld *builder) checkPolicy(key string, policy Policy) {
	bld.expectAmount(policy.GoodputWeight, key+".goodputWeight")
	bld.expectAmount(policy.WasteWeight, key+".wasteWeight")
	bld.expect(policy != Policy{}, key, "give at least one objective a weight", "weighs nothing")
}

// checkUnique reports objects that share a value that must be unique: with equal ranks
// the order of two tiers would be undefined, with equal addresses the slots of one target
// would be counted twice, and with equal credentials a caller would belong to two client
// accounts.
func (bld *builder) checkUnique() {
	add, change, withdrawn, next := bld.note.Added, bld.note.Changed, bld.note.Withdrawn, bld.next
	if len(add.Tiers)+len(change.Tiers) > 0 {
		indexUnique(bld, KindTier, "rank", next.Tiers, add.Tiers, change.Tiers, func(tier Tier) int { return tier.Rank })
	}
	if len(add.Targets)+len(change.Targets) > 0 {
		indexUnique(bld, KindTarget, "address", next.Targets, add.Targets, change.Targets, func(tgt Target) string { return tgt.Address })
	}
	if len(add.Accounts)+len(change.Accounts)+len(withdrawn.Accounts) > 0 || next.credentials == nil {
		next.credentials = indexUnique(bld, KindAccount, "credential", next.Accounts, add.Accounts, change.Accounts, func(acc Account) yuccaid.Digest { return acc.Credential })
	}
}

// indexUnique returns the name of the object that has each value of the field, and
// reports values that occur twice. Objects that the note does not mention are indexed
// first, so that the problem of a value that occurs twice is always reported at an
// object of the note.
func indexUnique[K ~string, V any, I comparable](bld *builder, kind Kind, field string, objects, added, changed map[K]V, valueOf func(V) I) map[I]K {
	holders := make(map[I]K, len(objects))
	for name, object := range objects {
		if sectionOf(added, changed, name) == "" {
			holders[valueOf(object)] = name
		}
	}
	touched := slices.AppendSeq(slices.Collect(maps.Keys(added)), maps.Keys(changed))
	slices.Sort(touched)
	for _, name := range touched {
		value := valueOf(objects[name])
		if holder, taken := holders[value]; taken && holder != name {
			key := objectKey(sectionOf(added, changed, name), kind, string(name)) + "." + field
			bld.report(yuccayaml.ErrTwice, key, "give each its own", "is %v, which %s has", value, holder)
			continue
		}
		holders[value] = name
	}
	return holders
}

func toStrings[T ~string](items []T) []string {
	plain := make([]string, len(items))
	for i, item := range items {
		plain[i] = string(item)
	}
	return plain
}

// validAmount reports whether amount is finite and not negative.
func validAmount(amount float64) bool {
	return amount >= 0 && !math.IsInf(amount, 0)
}

func validDigest(digest yuccaid.Digest) bool {
	return len(digest) == digestDigits && strings.Trim(string(digest), "0123456789abcdef") == ""
}

func externalNameRemedy() string {
	return fmt.Sprintf("use up to %d printable characters without spaces", externalNameLimit)
}

func validExternalName(name string) bool {
	return len(name) <= externalNameLimit && printable(name) && !strings.ContainsRune(name, ' ')
}

func validAuthor(author string) bool {
	return author != "" && len(author) <= authorLimit && printable(author)
}

// printable reports whether text is valid UTF-8 and all its characters are printable.
func printable(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}
