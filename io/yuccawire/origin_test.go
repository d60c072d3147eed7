package yuccawire_test

import (
	"bytes"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastream"
	"yuccacleat/io/yuccawire"
)

var _ = Describe("the origins of streams", func() {
	origins := yuccawire.Origins{Pool: "drafter", Version: "v1.2", Keys: []yuccastream.Key{yuccastream.NewKey("rally", "9c41d07be2a35f68")}, Seconds: 20}

	It("are read as they were written, like the questions for them", func() {
		for kind, body := range map[yuccawire.Kind]any{
			yuccawire.KindOrigins:      origins,
			yuccawire.KindOriginQuery:  yuccawire.OriginQuery{Number: 7, Key: 9, Pool: "drafter"},
			yuccawire.KindOriginAnswer: yuccawire.OriginAnswer{Number: 7, Found: true, Pool: "drafter", Version: "v1", Sole: "v1", Complete: true, Fresh: true},
			yuccawire.KindVersionAsk:   yuccawire.VersionAsk{Ask: yuccawire.Ask{Pool: "drafter", Number: 3}, Version: "v1"},
		} {
			frame, err := yuccawire.Encode(kind, body)
			Expect(err).NotTo(HaveOccurred())
			read, err := yuccawire.Read(bytes.NewReader(frame))
			Expect(err).NotTo(HaveOccurred())
			got := reflect.New(reflect.TypeOf(body))
			Expect(read.Decode(got.Interface())).To(Succeed())
			Expect(got.Elem().Interface()).To(Equal(body))
		}
	})

	// Guards against the failure that what daemons tell each other of streams takes more than the bytes
	// that are aimed at: 3 KB a second of a daemon for all control at 5,100 requests a second and 400 daemons,
	// where each origin goes to three others.
	It("take less than two thirds of the bytes that are aimed at, even if all requests are streams", func() {
		frame, err := yuccawire.Encode(yuccawire.KindOrigins, origins)
		Expect(err).NotTo(HaveOccurred())
		const requestsPerDaemon, copies, aimedBytes = 5100.0 / 400, 3, 3000
		Expect(requestsPerDaemon * copies * float64(len(frame))).To(BeNumerically("<", aimedBytes*2/3))
	})
})
