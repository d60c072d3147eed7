package yuccaquarantine_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccaquarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaquarantine")
}
