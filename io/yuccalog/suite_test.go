package yuccalog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccalog")
}
