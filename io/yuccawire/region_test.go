package yuccawire_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

var _ = Describe("a request that may be served in some regions only", func() {
	// Guards against the failure that asks of limited requests, which may be as frequent as others, take several times as many bytes.
	It("is read as it was written, and takes few bytes", func() {
		ask := yuccawire.RegionAsk{Ask: yuccawire.Ask{Pool: "drafter", Number: 3}, Version: "v1", EndMillis: 40, Regions: []yuccaid.Region{"coast", "hills"}}
		frame, err := yuccawire.Encode(yuccawire.KindRegionAsk, ask)
		Expect(err).NotTo(HaveOccurred())
		read, err := yuccawire.Read(bytes.NewReader(frame))
		Expect(err).NotTo(HaveOccurred())
		var got yuccawire.RegionAsk
		Expect(read.Decode(&got)).To(Succeed())
		Expect(got).To(Equal(ask))
		Expect(len(frame)).To(BeNumerically("<", 80))
	})
})
