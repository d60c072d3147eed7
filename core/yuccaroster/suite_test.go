package yuccaroster_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaroster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaroster")
}
