package yuccastream_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestYuccastream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccastream")
}
