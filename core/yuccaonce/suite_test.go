package yuccaonce_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaonce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaonce")
}
