package yuccapeer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccapeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccapeer")
}
