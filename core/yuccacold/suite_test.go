package yuccacold_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccacold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccacold")
}
