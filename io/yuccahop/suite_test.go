package yuccahop_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccahop(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccahop")
}
