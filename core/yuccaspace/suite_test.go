package yuccaspace_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaspace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaspace")
}
