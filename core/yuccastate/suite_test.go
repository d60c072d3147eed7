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

func read(name string) []byte {
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		panic(err)
	}
	return raw
}

// parsed parses a note and sets its number and base so that it follows on.
func parsed(on *yuccastate.State, text string) yuccastate.Note {
	note, err := yuccastate.ParseNote([]byte(text))
	if err != nil {
		panic(err)
	}
	note.Number, note.Base = on.Number+1, on.Digest()
	if note.Author == "" {
		note.Author = "anna"
	}
	return note
}

// founded returns the configuration after the first note of testdata (first.yaml).
func founded() *yuccastate.State {
	state, err := yuccastate.Empty().Apply(parsed(yuccastate.Empty(), string(read("first.yaml"))))
	if err != nil {
		panic(err)
	}
	return state
}

// published returns the key and the text under which an operator publishes a note that
// follows on.
func published(on *yuccastate.State, text string) (string, []byte) {
	note := parsed(on, text)
	return yuccastate.NoteKey(note.Number), note.Canonical()
}
