package yuccaconf_test

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate/yuccayaml"
	"yuccacleat/io/yuccaconf"
)

const samplePath = "../../docs/settings.sample.yaml"

var update = flag.Bool("update", false, "rewrite the golden files")

func TestYuccaconf(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaconf")
}

func sample() string {
	raw, err := os.ReadFile(samplePath)
	if err != nil {
		panic(err)
	}
	return strings.ReplaceAll(string(raw), "/etc/yuccacleat/", "testdata/")
}

var _ = Describe("the sample", func() {
	It("loads with a key file in place, and its values are the defaults where it says so", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(path, []byte(sample()), 0o600)).To(Succeed())
		settings, err := yuccaconf.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.VM).To(Equal(yuccaid.VM("entry-1")))
		Expect(settings.FleetKey).To(HaveLen(32), "without the line end")
		defaults := yuccaconf.Defaults()
		Expect(settings.Limits).To(Equal(defaults.Limits))
		Expect(settings.Log).To(Equal(defaults.Log))
		Expect(settings.LongestDrain).To(Equal(defaults.LongestDrain))
	})

	It("explains every key that there is", func() {
		full := yuccaconf.Defaults()
		full.Seeds = []string{"10.0.0.11:7000", "10.0.1.11:7000"}
		explained, err := yuccayaml.Decode([]byte(sample()), &yuccaconf.Settings{})
		Expect(err).NotTo(HaveOccurred())
		there, err := yuccayaml.Decode(yuccayaml.Encode(full), &yuccaconf.Settings{})
		Expect(err).NotTo(HaveOccurred())
		Expect(slices.Sorted(maps.Keys(explained))).To(Equal(slices.Sorted(maps.Keys(there))))
		lines := strings.Split(sample(), "\n")
		for i, line := range lines {
			key := strings.TrimSpace(line)
			group := strings.HasSuffix(key, ":")
			if key == "" || key[0] == '#' || key[0] == '-' || group {
				continue
			}
			Expect(strings.TrimSpace(lines[i-1])).To(HavePrefix("#"), "nothing explains "+key)
		}
	})
})

var _ = Describe("wrong settings", func() {
	// A daemon that starts with half of its settings is found out only when a caller
	// or a peer needs the other half. The operator sees every mistake at the start.
	DescribeTable("are refused by line, key and remedy",
		func(name string, kind error, edits ...string) {
			text := sample()
			for i := 0; i < len(edits); i += 2 {
				Expect(text).To(ContainSubstring(edits[i]))
				text = strings.Replace(text, edits[i], edits[i+1], 1)
			}
			_, err := yuccaconf.Parse([]byte(text))
			Expect(err).To(MatchError(kind))
			var problems yuccayaml.Problems
			Expect(errors.As(err, &problems)).To(BeTrue())
			for _, prob := range problems {
				Expect(prob.Line > 0 || prob.Kind == yuccaconf.ErrMissing).To(BeTrue(), prob.Error())
				Expect(prob.Key).NotTo(BeEmpty())
				Expect(prob.Remedy).NotTo(BeEmpty())
			}
			expectGolden(name, err)
		},
		Entry("unknown key", "unknown-key", yuccayaml.ErrUnknownKey, "centre:", "center:"),
		Entry("key twice", "key-twice", yuccayaml.ErrTwice, "log:", "vm: entry-2\nlog:"),
		Entry("wrong units", "wrong-units", yuccayaml.ErrUnit, "longestDrain: 10m", "longestDrain: 600", "body: 1MiB", "body: 4194304", "answerLife: 2m", "answerLife: 5 minutes", "requests: 20000", "requests: 20k"),
		Entry("bad names", "bad-names", yuccaconf.ErrRange, "vm: entry-1", "vm: Entry_1", "centre: east", "centre: east.one", "level: info", "level: loud"),
		Entry("bad addresses", "bad-addresses", yuccaconf.ErrAddress, "0.0.0.0:8080", "localhost:8080", "0.0.0.0:7000", "10.0.0.11", "127.0.0.1:9090", "127.0.0.1", "advertise: 10.0.0.11:7000", "advertise: 0.0.0.0:7000", "http://10.0.0.2:8500", "10.0.0.2:8500/v1", "- 10.0.1.11:7000", "- entry-2"),
		Entry("nothing to dial", "nothing-to-dial", yuccaconf.ErrMissing, "advertise: 10.0.0.11:7000", ""),
		Entry("no port to dial", "no-port-to-dial", yuccaconf.ErrAddress, "advertise: 10.0.0.11:7000", "advertise: 10.0.0.11:0", "- 10.0.1.11:7000", "- 10.0.1.11:0"),
		Entry("double addresses", "double-addresses", yuccaconf.ErrDoubleAddress, "127.0.0.1:9090", "127.0.0.1:7000", "- 10.0.1.11:7000", "- 10.0.0.11:7000"),
		Entry("key file missing", "key-file-missing", yuccaconf.ErrKeyFile, "testdata/fleet.key", "testdata/absent.key"),
		Entry("key file too short", "key-file-short", yuccaconf.ErrKeyFile, "testdata/fleet.key", "testdata/short.key"),
		Entry("key file a directory", "key-file-directory", yuccaconf.ErrKeyFile, "testdata/fleet.key", "testdata"),
		Entry("amounts out of range", "out-of-range", yuccaconf.ErrRange, "longestDrain: 10m", "longestDrain: 48h", "requests: 20000", "requests: 0", "callers: 600", "callers: -1", "body: 1MiB", "body: 0B", "answers: 64MiB", "answers: 0B", "answerLife: 2m", "answerLife: 45m", "requestLife: 30m", "requestLife: 0s"),
	)

	It("tell everything that is missing from an empty file", func() {
		_, err := yuccaconf.Parse(nil)
		Expect(err).To(MatchError(yuccaconf.ErrMissing))
		expectGolden("empty", err)
	})

	It("name the file that can't be read", func() {
		_, err := yuccaconf.Load("testdata/absent.yaml")
		Expect(err).To(MatchError(yuccaconf.ErrFile))
		Expect(err).To(MatchError(ContainSubstring("testdata/absent.yaml")))
	})
})

// expectGolden compares an error with a file under testdata, or writes it with -update.
func expectGolden(name string, err error) {
	GinkgoHelper()
	path := filepath.Join("testdata", name+".golden")
	text := err.Error() + "\n"
	if *update {
		Expect(os.WriteFile(path, []byte(text), 0o644)).To(Succeed())
	}
	want, readErr := os.ReadFile(path)
	Expect(readErr).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(want)))
}

func ExampleParse() {
	_, err := yuccaconf.Parse([]byte(`
vm: entry-1
centre: east
listen: {caller: 0.0.0.0:8080, peer: 0.0.0.0:7000, operator: 127.0.0.1:7000}
advertise: 10.0.0.11:7000
platform: http://10.0.0.2:8500
fleetKeyFile: testdata/fleet.key
longestDrain: 600
`))
	fmt.Println(err)
	// Output:
	// line 4: listen.operator: 127.0.0.1:7000 is taken by listen.peer: give each listener its own port
	// line 8: longestDrain: 600 has no unit: write a duration such as 30s or 2m
}
