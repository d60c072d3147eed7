package yuccagate_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccagate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccagate")
}
