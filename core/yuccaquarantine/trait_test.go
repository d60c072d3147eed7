package yuccaquarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquarantine"
)

// Guards against the failure that two requests of different content are taken for repeats of one another.
var _ = It("tells contents apart by each of their fields", func() {
	content := yuccaquarantine.Content{Account: "rally", Method: "POST", Host: "desk.example", URI: "/note/1", Description: "parts: a,b", Body: []byte("abc")}
	variants := map[string]func(*yuccaquarantine.Content){
		"account":             func(con *yuccaquarantine.Content) { con.Account = "marshals" },
		"method":              func(con *yuccaquarantine.Content) { con.Method = "PUT" },
		"host":                func(con *yuccaquarantine.Content) { con.Host = "desk.example:80" },
		"URI":                 func(con *yuccaquarantine.Content) { con.URI = "/note/1?page=2" },
		"description":         func(con *yuccaquarantine.Content) { con.Description = "parts: a,c" },
		"body":                func(con *yuccaquarantine.Content) { con.Body = []byte("abd") },
		"where a field ends":  func(con *yuccaquarantine.Content) { con.Host, con.URI = "desk.example/", "note/1" },
		"where the body ends": func(con *yuccaquarantine.Content) { con.Description, con.Body = "parts: a,ba", []byte("bc") },
	}
	for name, change := range variants {
		changed := content
		change(&changed)
		Expect(changed.Trait()).NotTo(Equal(content.Trait()), name)
	}
	Expect(content.Trait().IsContent()).To(BeTrue())
	Expect(yuccaquarantine.PartTraits([]yuccaid.PromptPart{"content"})[0].IsContent()).To(BeFalse())
})
