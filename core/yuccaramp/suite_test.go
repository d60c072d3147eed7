package yuccaramp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaramp(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaramp")
}
