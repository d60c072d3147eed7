package yuccaquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"yuccacleat/core/yuccaid"
)

// Trait is what requests may have in common on which targets crash: a part of their prompts, or their whole content.
type Trait string

// contentPrefix begins the traits of contents. Ids of parts have no colon.
const contentPrefix = "content:"

// contentDigestBytes is the length of the digest in the trait of a content.
const contentDigestBytes = 8

// PartTraits returns the traits of the requests that have the parts in their prompts.
func PartTraits(parts []yuccaid.PromptPart) []Trait {
	var traits []Trait
	for _, part := range parts {
		traits = append(traits, Trait(part))
	}
	return traits
}

// Content is what a request has its target do. It is the same for all repeats of a request, whatever their ids, their deadlines and
// the events that their callers already have.
type Content struct {
	Account     yuccaid.Account
	Method      string
	Host        string
	URI         string
	Description string
	Body        []byte
}

// Trait returns the trait of the requests that have the content.
func (con Content) Trait() Trait {
	digest := sha256.New()
	for _, field := range []string{string(con.Account), con.Method, con.Host, con.URI, con.Description} {
		digest.Write(binary.AppendUvarint(nil, uint64(len(field))))
		digest.Write([]byte(field))
	}
	digest.Write(con.Body)
	return contentPrefix + Trait(hex.EncodeToString(digest.Sum(nil)[:contentDigestBytes]))
}

// IsContent reports whether the trait is a whole content.
func (trait Trait) IsContent() bool { return strings.HasPrefix(string(trait), contentPrefix) }
