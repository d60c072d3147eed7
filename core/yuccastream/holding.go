package yuccastream

import (
	"slices"

	"yuccacleat/core/yuccaid"
)

// maxBlockTokens is the longest block in which engines keep prompts. The rest of a part that fills no
// block isn't kept.
const maxBlockTokens = 64

// Holding is what a target keeps of a part of a prompt. It has no tokens if the target didn't tell. The zero value stands for a
// target of which nothing is known.
type Holding struct {
	// Origin is the target's pool and version; the version is empty if it isn't certain which process answered.
	Origin Origin
	Tokens yuccaid.Tokens
}

// InPool leaves out the targets that didn't tell and are of another pool than the one in which the stream began.
func InPool(holdings []Holding, pool yuccaid.Pool) []Holding {
	return slices.DeleteFunc(slices.Clone(holdings), func(one Holding) bool {
		return one.Tokens == 0 && one.Origin.Pool != "" && one.Origin.Pool != pool
	})
}

// OriginOf returns where a stream began, from what targets keep of the last part of its prompt, which has the size. It
// returns false if that isn't certain.
//
// A target makes events only after it has read the whole prompt. Targets of other versions must not have read any of
// it, also in an attempt that brought the caller no event; one that didn't tell may have.
func OriginOf(holdings []Holding, size yuccaid.Tokens) (Origin, bool) {
	whole := false
	for _, one := range holdings {
		if one.Origin.Version == "" || one.Origin != holdings[0].Origin {
			return Origin{}, false
		}
		whole = whole || one.Tokens > max(size-maxBlockTokens, 0)
	}
	if !whole {
		return Origin{}, false
	}
	return holdings[0].Origin, true
}
