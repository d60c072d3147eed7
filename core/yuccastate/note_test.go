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
		note := parsed(founded(), string(read("second.yaml")))
		expectGolden("canonical.golden", string(note.Canonical()))
		back, err := yuccastate.ParseNote(note.Canonical())
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Digest()).To(Equal(note.Digest()))
		other := parsed(founded(), string(read("second.yaml"))+"# another layout\n")
		Expect(other.Digest()).To(Equal(note.Digest()))
		other.Author = "carla"
		Expect(other.Digest()).NotTo(Equal(note.Digest()))
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
		f.Add(read(strings.TrimPrefix(file, "testdata/")))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		note, err := yuccastate.ParseNote(raw)
		if err != nil {
			if yuccastate.Reason(err) == "" {
				t.Fatalf("no reason: %v", err)
			}
			return
		}
		back, err := yuccastate.ParseNote(note.Canonical())
		if err != nil || !bytes.Equal(back.Canonical(), note.Canonical()) {
			t.Fatalf("%v\n%s\nbecomes\n%s", err, note.Canonical(), back.Canonical())
		}
		note.Base, note.Number = yuccastate.Empty().Digest(), 1
		if _, err := yuccastate.Empty().Apply(note); err != nil && yuccastate.Reason(err) == "" {
			t.Fatalf("no reason: %v", err)
		}
	})
}
