package yuccapool_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccapool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccapool")
}
