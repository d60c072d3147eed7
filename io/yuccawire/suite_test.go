package yuccawire_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccawire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccawire")
}
