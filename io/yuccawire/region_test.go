package yuccawire_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

var _ = Describe("a request that may be served in some regions only", func() {
	It("is read as it was written", func() {
		ask := yuccawire.RegionAsk{VersionAsk: yuccawire.VersionAsk{Ask: yuccawire.Ask{Pool: "drafter", Number: 3}, Version: "v1", EndMillis: 40}, Regions: []yuccaid.Region{"coast", "hills"}}
		frame, err := yuccawire.Encode(yuccawire.KindRegionAsk, ask)
		Expect(err).NotTo(HaveOccurred())
		read, err := yuccawire.Read(bytes.NewReader(frame))
		Expect(err).NotTo(HaveOccurred())
		var got yuccawire.RegionAsk
		Expect(read.Decode(&got)).To(Succeed())
		Expect(got).To(Equal(ask))
	})
})
