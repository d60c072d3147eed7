package main_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// The two programs, built once for all tests of this package.
var yuccacleatPath, yuccastandPath string

func TestYuccacleat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccacleat")
}

var _ = BeforeSuite(func() {
	var err error
	yuccacleatPath, err = gexec.Build("yuccacleat/cmd/yuccacleat", raceFlags...)
	Expect(err).NotTo(HaveOccurred())
	yuccastandPath, err = gexec.Build("yuccacleat/cmd/yuccastand")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
