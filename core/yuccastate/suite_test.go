package yuccastate_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastate"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestYuccastate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccastate")
}

// expectGolden compares text with a file under testdata; with -update it rewrites the
// file first.
func expectGolden(name, text string) {
	GinkgoHelper()
	path := filepath.Join("testdata", name)
	if *update {
		Expect(os.WriteFile(path, []byte(text), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(want)))
}

// readTestdata returns the content of a file under testdata.
func readTestdata(name string) []byte {
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		panic(err)
	}
	return raw
}

// nextNote parses a note and makes it the next one after the configuration current: it
// sets the note's number and base, and an author if the text names no author.
func nextNote(current *yuccastate.State, text string) yuccastate.Note {
	note, err := yuccastate.ParseNote([]byte(text))
	if err != nil {
		panic(err)
	}
	note.Number, note.Base = current.Number+1, current.Digest()
	if note.Author == "" {
		note.Author = "anna"
	}
	return note
}

// founded returns the configuration after the first note of testdata (first.yaml).
func founded() *yuccastate.State {
	state, err := yuccastate.Empty().Apply(nextNote(yuccastate.Empty(), string(readTestdata("first.yaml"))))
	if err != nil {
		panic(err)
	}
	return state
}

// nextPublished returns the key and the canonical text of a note that an operator
// publishes as the next one after the configuration current.
func nextPublished(current *yuccastate.State, text string) (string, []byte) {
	note := nextNote(current, text)
	return yuccastate.NoteKey(note.Number), note.Canonical()
}
