package yuccaorder_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaorder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaorder")
}
