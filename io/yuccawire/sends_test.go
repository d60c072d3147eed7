package yuccawire_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccawire"
)

var _ = Describe("the sends of a leader", func() {
	sends := yuccawire.Sends{Pool: "drafter", Number: 7, Whole: true, Sends: []yuccawire.TargetSend{{Target: "i-9ab75d6356", AgeMillis: 420}}}

	It("are read as they were written", func() {
		frame, err := yuccawire.Encode(yuccawire.KindSends, sends)
		Expect(err).NotTo(HaveOccurred())
		read, err := yuccawire.Read(bytes.NewReader(frame))
		Expect(err).NotTo(HaveOccurred())
		var got yuccawire.Sends
		Expect(read.Decode(&got)).To(Succeed())
		Expect(got).To(Equal(sends))
	})

	// Guards against the failure that reports of sends take a large part of a small VM's link, for example with field names.
	It("take less than 40 bytes for each request with all of them repeated each second", func() {
		empty, err := yuccawire.Encode(yuccawire.KindSends, yuccawire.Sends{Pool: "drafter", Number: 7})
		Expect(err).NotTo(HaveOccurred())
		frame, err := yuccawire.Encode(yuccawire.KindSends, sends)
		Expect(err).NotTo(HaveOccurred())
		Expect(2 * (len(frame) - len(empty))).To(BeNumerically("<", 40))
		Expect(len(empty)).To(BeNumerically("<", 32))
	})
})
