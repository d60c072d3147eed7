package yuccaroute_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaroute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaroute")
}
