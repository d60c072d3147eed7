package yuccawire_test

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquarantine"
	"yuccacleat/core/yuccaquota"
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

// formerEntry, formerTargets and formerCast are the messages as the former build declares them.
type formerEntry struct {
	Target      yuccaid.Target       `msgpack:"target"`
	Pool        yuccaid.Pool         `msgpack:"pool"`
	Address     string               `msgpack:"address"`
	Centre      yuccaid.Centre       `msgpack:"centre"`
	Slots       int                  `msgpack:"slots"`
	Leaving     bool                 `msgpack:"leaving"`
	StartMillis int64                `msgpack:"born"`
	WarmAfter   time.Duration        `msgpack:"warmAfter"`
	Revision    yuccaroster.Revision `msgpack:"revision"`
}

type formerTargets struct {
	Entries  []formerEntry         `msgpack:"entries"`
	Removals []yuccaroster.Removal `msgpack:"removals"`
	Whole    bool                  `msgpack:"whole"`
	At       yuccaroster.Revision  `msgpack:"at"`
	Sure     bool                  `msgpack:"sure"`
}

type formerCast struct {
	Origin   string
	Centre   yuccaid.Centre
	Topic    yuccawire.Topic
	Pool     yuccaid.Pool
	Sequence uint64
	Use      []yuccaquota.Usage
	Whole    []yuccaquota.UsageByAge
	Load     []yuccawire.TargetLoad
	Part     bool
	Daemons  int
	Held     []yuccawire.HeldPart
	VM       yuccaid.VM
	Fresh    *yuccawire.Fresh
	Targets  *formerTargets
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
		read, err := yuccawire.Read(bytes.NewReader(frame))
		Expect(err).NotTo(HaveOccurred())
		var seenByFormer formerCast
		Expect(read.Decode(&seenByFormer)).To(Succeed())
		Expect(seenByFormer).To(Equal(formerCast{Topic: cast.Topic, Origin: cast.Origin, Centre: cast.Centre, Sequence: cast.Sequence, Targets: &formerTargets{
			Entries: []formerEntry{{"a", "desk", "10.0.0.1:80", "odessa", 4, true, 1_700_000_000_000, 0, 9}}, Removals: targets.Removals, At: 9, Sure: true,
		}}))
		read, err = yuccawire.Read(bytes.NewReader(former["cast"]))
		Expect(err).NotTo(HaveOccurred())
		var seenByCurrent yuccawire.Cast
		Expect(read.Decode(&seenByCurrent)).To(Succeed())
		Expect(seenByCurrent).To(Equal(cast))

		var update yuccawire.TargetsUpdate
		read, err = yuccawire.Read(bytes.NewReader(former["targets"]))
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

	// Guards against the failure that daemons which learn of targets from peers don't know their versions.
	It("have the targets' versions", func() {
		targets.Entries[0].Version = "v2"
		cast.Targets = &targets
		for kind, body := range map[yuccawire.Kind]any{yuccawire.KindCast: cast, yuccawire.KindTargets: yuccawire.TargetsUpdate{Targets: targets}} {
			frame, err := yuccawire.Encode(kind, body)
			Expect(err).NotTo(HaveOccurred())
			read, err := yuccawire.Read(bytes.NewReader(frame))
			Expect(err).NotTo(HaveOccurred())
			decoded := reflect.New(reflect.TypeOf(body))
			Expect(read.Decode(decoded.Interface())).To(Succeed())
			Expect(decoded.Elem().Interface()).To(Equal(body))
		}
	})
})

// Guards against the failure that daemons don't learn of one another's crashes, cleared parts or trials.
var _ = Describe("news of crashes", func() {
	It("are read as they were written, also if there are none", func() {
		full := yuccawire.Quarantine{
			Crashes: []yuccawire.TargetCrash{{Target: "t-1", StartMillis: 5, AgeMillis: 40, Traits: []yuccaquarantine.Trait{"5c1e07a2"}}},
			Cleared: []yuccawire.ClearedTrait{{Trait: "91bd3f06", AgeMillis: 3}}, Trials: []yuccawire.TraitTrial{{Traits: []yuccaquarantine.Trait{"5c1e07a2"}, AgeMillis: 9, Number: 2}},
			Experienced: true,
		}
		for _, message := range []yuccawire.Quarantine{full, {}} {
			frame, err := yuccawire.Encode(yuccawire.KindQuarantine, message)
			Expect(err).NotTo(HaveOccurred())
			read, err := yuccawire.Read(bytes.NewReader(frame))
			Expect(err).NotTo(HaveOccurred())
			var got yuccawire.Quarantine
			Expect(read.Decode(&got)).To(Succeed())
			Expect(got).To(Equal(message))
		}
	})
})

var _ = Describe("the seeds of a data centre", func() {
	It("are read as they were written, also if there are none", func() {
		for _, message := range []yuccawire.Seeds{{Centre: "odessa", Addresses: []string{"10.0.0.1:7000"}}, {Centre: "odessa"}} {
			frame, err := yuccawire.Encode(yuccawire.KindSeeds, message)
			Expect(err).NotTo(HaveOccurred())
			read, err := yuccawire.Read(bytes.NewReader(frame))
			Expect(err).NotTo(HaveOccurred())
			var got yuccawire.Seeds
			Expect(read.Decode(&got)).To(Succeed())
			Expect(got).To(Equal(message))
		}
	})

	// Guards against the failure that what daemons tell each other of seeds takes more than a twentieth of the bytes that
	// are aimed at. The platform names three seeds, and one report each two seconds of each is passed on.
	It("take less than a twentieth of the bytes that are aimed at", func() {
		frame, err := yuccawire.Encode(yuccawire.KindSeeds, yuccawire.Seeds{Centre: "centre-of-odessa-3", Addresses: []string{"10.100.200.100:10000"}})
		Expect(err).NotTo(HaveOccurred())
		const reportsPerSecond, aimedBytes = 3 / 2.0, 3000
		Expect(reportsPerSecond * float64(len(frame))).To(BeNumerically("<", aimedBytes/20))
	})
})
