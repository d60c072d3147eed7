package yuccaquota_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaquota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaquota")
}
