package yuccastate_test

import (
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastate"
)

// judge returns what a daemon on the founded configuration says to a note.
func judge(raw []byte) error {
	note, err := yuccastate.ParseNote(raw)
	if err == nil {
		_, err = founded().Apply(note)
	}
	return err
}

var _ = Describe("a refused note", func() {
	// A note with a mistake that slipped through would be in force everywhere within
	// seconds. The operator sees each mistake with its line and what to do; all daemons
	// say the same, so that a note is never in force in one data centre only.
	files, err := filepath.Glob("testdata/refused/*.yaml")
	if err != nil || len(files) == 0 {
		panic("no notes to refuse")
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		It("tells line, key and remedy: "+name, func() {
			text := strings.ReplaceAll(string(read("refused/"+name+".yaml")), "FOUNDED", string(founded().Digest()))
			refusal := judge([]byte(text))
			Expect(refusal).To(HaveOccurred())
			for range 20 { // the order of Go's maps differs from run to run
				Expect(judge([]byte(text))).To(MatchError(refusal.Error()))
			}
			expectGolden("refused/"+name+".golden", yuccastate.Reason(refusal)+"\n"+refusal.Error()+"\n")
		})
	}
})
