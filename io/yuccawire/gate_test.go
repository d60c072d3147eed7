package yuccawire_test

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccawire"
)

// readFormer returns the frames of a former build that a golden file holds, by name.
func readFormer(path string) map[string][]byte {
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	frames := make(map[string][]byte)
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		frames[name], err = hex.DecodeString(digits)
		Expect(err).NotTo(HaveOccurred())
	}
	return frames
}

var _ = Describe("changes of targets between two builds", func() {
	targets := yuccawire.Targets{
		Entries: []yuccaroster.Entry{{
			Target: "a", Pool: "desk", Address: "10.0.0.1:80", Centre: "odessa", Slots: 4, Leaving: true, StartMillis: 1_700_000_000_000, Revision: 9,
		}},
		Removals: []yuccaroster.Removal{{Target: "b", Revision: 8}}, At: 9, Sure: true,
	}
	cast := yuccawire.Cast{Topic: yuccawire.TopicTargets, Origin: "vm-1.00", Centre: "odessa", Sequence: 7, Targets: &targets}

	// Guards against the failure that a daemon refuses all changes of targets from daemons of another
	// build while the fleet is upgraded, because the number of fields in an array differs.
	It("are read by either", func() {
		former := readFormer("testdata/targets-former.golden")
		frame, err := yuccawire.Encode(yuccawire.KindCast, cast)
		Expect(err).NotTo(HaveOccurred())
		Expect(frame).To(Equal(former["cast"]))

		var update yuccawire.TargetsUpdate
		read, err := yuccawire.Read(bytes.NewReader(former["targets"]))
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Decode(&update)).To(Succeed())
		Expect(update).To(Equal(yuccawire.TargetsUpdate{Targets: targets}))

		frame, err = yuccawire.Encode(yuccawire.KindTargets, yuccawire.TargetsUpdate{Targets: targets, After: 8})
		Expect(err).NotTo(HaveOccurred())
		read, err = yuccawire.Read(bytes.NewReader(frame))
		Expect(err).NotTo(HaveOccurred())
		var without yuccawire.Targets
		Expect(read.Decode(&without)).To(Succeed())
		Expect(without).To(Equal(targets))
		Expect(read.Decode(&update)).To(Succeed())
		Expect(update.After).To(Equal(yuccaroster.Revision(8)))
	})
})
