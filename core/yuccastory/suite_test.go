package yuccastory_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestYuccastory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccastory")
}

// golden compares a text with what a file holds.
func golden(name, text string) {
	GinkgoHelper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(want)))
}
