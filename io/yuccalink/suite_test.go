package yuccalink_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccalink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccalink")
}
