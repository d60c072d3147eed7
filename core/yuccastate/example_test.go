package yuccastate_test

import (
	"fmt"
	"time"

	"yuccacleat/core/yuccastate"
)

func ExampleState_Apply() {
	before := yuccastate.Empty()
	note, err := yuccastate.ParseNote([]byte(`
number: 1
base: ` + string(before.Digest()) + `
by: anna
added:
  centres:
    east: {region: coast}
  tiers:
    urgent: {rank: 0}
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	after, err := before.Apply(note)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(yuccastate.Diff(before, after))
	// Output:
	// ~ number 0 -> 1
	// + centres.east: region: coast
	// + tiers.urgent: rank: 0
}

func ExampleChain() {
	chain := yuccastate.NewChain()
	note := fmt.Sprintf("number: 1\nbase: %s\nby: anna\nadded: {tiers: {urgent: {rank: 0}}}\n", chain.Digest())
	verdict, err := chain.Offer(time.Now(), yuccastate.NoteKey(1), []byte(note))
	fmt.Println(verdict.Kind, chain.Number(), err)

	_, err = chain.Offer(time.Now(), yuccastate.NoteKey(1), []byte("number: 1\nby: bruno\n"))
	fmt.Println(yuccastate.Reason(err))
	// Output:
	// accepted 1 <nil>
	// content of an accepted note changed
}
