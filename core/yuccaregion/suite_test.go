package yuccaregion_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaregion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaregion")
}
