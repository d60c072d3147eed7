package yuccastate_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastate"
)

var _ = Describe("a note's canonical form", func() {
	It("is the same for all layouts of the same content", func() {
		note := nextNote(founded(), string(readTestdata("second.yaml")))
		expectGolden("canonical.golden", string(note.Canonical()))
		decoded, err := yuccastate.ParseNote(note.Canonical())
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Digest()).To(Equal(note.Digest()))
		reformatted := nextNote(founded(), string(readTestdata("second.yaml"))+"# another layout\n")
		Expect(reformatted.Digest()).To(Equal(note.Digest()))
		reformatted.Author = "carla"
		Expect(reformatted.Digest()).NotTo(Equal(note.Digest()))
	})

	It("has a size that the platform's service can store", func() {
		_, err := yuccastate.ParseNote(bytes.Repeat([]byte("#"), int(yuccastate.NoteLimit)+1))
		Expect(err).To(MatchError(ContainSubstring("split it")))
	})
})

// FuzzParseNote searches for inputs that make the parser panic, accepted notes whose
// canonical form parses to another note, and errors without a reason.
func FuzzParseNote(f *testing.F) {
	files, _ := filepath.Glob("testdata/*/*.yaml")
	for _, file := range append(files, "testdata/first.yaml", "testdata/second.yaml") {
		f.Add(readTestdata(strings.TrimPrefix(file, "testdata/")))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		note, err := yuccastate.ParseNote(raw)
		if err != nil {
			if yuccastate.Reason(err) == "" {
				t.Fatalf("no reason: %v", err)
			}
			return
		}
		decoded, err := yuccastate.ParseNote(note.Canonical())
		if err != nil || !bytes.Equal(decoded.Canonical(), note.Canonical()) {
			t.Fatalf("%v\n%s\nbecomes\n%s", err, note.Canonical(), decoded.Canonical())
		}
		note.Base, note.Number = yuccastate.Empty().Digest(), 1
		if _, err := yuccastate.Empty().Apply(note); err != nil && yuccastate.Reason(err) == "" {
			t.Fatalf("no reason: %v", err)
		}
	})
}
