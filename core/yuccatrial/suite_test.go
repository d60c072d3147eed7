package yuccatrial_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccatrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccatrial")
}
