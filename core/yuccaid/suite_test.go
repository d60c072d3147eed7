package yuccaid_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaid(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaid")
}
