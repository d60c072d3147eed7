package yuccastream

import "yuccacleat/core/yuccaid"

// maxBlockTokens is the longest block in which engines keep prompts. The rest of a part that fills no
// block isn't kept.
const maxBlockTokens = 64

// Holding is what a target keeps of a part of a prompt. The zero value is of a target of which nothing is known.
type Holding struct {
	// Origin is the target's pool and version; the version is empty if it isn't certain which process answered.
	Origin Origin
	Tokens yuccaid.Tokens
}

// OriginOf returns where a stream began, from what targets keep of the last part of its prompt, which has the size. It
// returns false if that isn't certain.
//
// A target makes events only after it has read the whole prompt. Targets of other versions must not have read any of
// it, also in an attempt that brought the caller no event.
func OriginOf(holdings []Holding, size yuccaid.Tokens) (Origin, bool) {
	whole := false
	for _, one := range holdings {
		if one.Origin.Version == "" || one.Origin != holdings[0].Origin {
			return Origin{}, false
		}
		whole = whole || one.Tokens > size-maxBlockTokens
	}
	if !whole {
		return Origin{}, false
	}
	return holdings[0].Origin, true
}
