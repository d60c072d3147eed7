package yuccaallow_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaallow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaallow")
}
