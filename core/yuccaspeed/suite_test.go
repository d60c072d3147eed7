package yuccaspeed_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaspeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaspeed")
}
