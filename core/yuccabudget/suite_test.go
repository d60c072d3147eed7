package yuccabudget_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccabudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccabudget")
}
