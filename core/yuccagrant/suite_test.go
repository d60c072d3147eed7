package yuccagrant_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccagrant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccagrant")
}
