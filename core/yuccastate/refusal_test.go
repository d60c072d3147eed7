package yuccastate_test

import (
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastate"
)

// applyToFounded parses a note, applies it to the founded configuration and returns the
// error.
func applyToFounded(raw []byte) error {
	note, err := yuccastate.ParseNote(raw)
	if err == nil {
		_, err = founded().Apply(note)
	}
	return err
}

var _ = Describe("a refused note", func() {
	// A mistake in a note that is not detected would be in force in the whole fleet
	// within seconds. The operator gets each mistake with its line and remedy, and all
	// daemons must return the same error, so that a note is never in force in one data
	// centre only.
	files, err := filepath.Glob("testdata/refused/*.yaml")
	if err != nil || len(files) == 0 {
		panic("no notes to refuse")
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		It("is reported with line, key and remedy: "+name, func() {
			text := strings.ReplaceAll(string(readTestdata("refused/"+name+".yaml")), "FOUNDED", string(founded().Digest()))
			refusal := applyToFounded([]byte(text))
			Expect(refusal).To(HaveOccurred())
			for range 20 { // Go's order of map iteration differs each time
				Expect(applyToFounded([]byte(text))).To(MatchError(refusal.Error()))
			}
			expectGolden("refused/"+name+".golden", yuccastate.Reason(refusal)+"\n"+refusal.Error()+"\n")
		})
	}
})
