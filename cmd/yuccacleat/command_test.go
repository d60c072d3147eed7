package main_test

import (
	"bytes"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// tool runs the operators' tool in a folder and returns what it printed.
func tool(dir string, args ...string) (output string, code int) {
	GinkgoHelper()
	var out bytes.Buffer
	cmd := exec.Command(yuccacleatPath, args...)
	cmd.Dir = dir
	cmd.Stdout = &out
	cmd.Stderr = &out
	_ = cmd.Run()
	return strings.ReplaceAll(out.String(), dir+"/", ""), cmd.ProcessState.ExitCode()
}

var _ = Describe("the operators' commands", func() {
	var dir string

	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		first := yuccastate.Note{Number: 1, Base: yuccastate.Empty().Digest(), Author: "ada"}
		first.Added.Centres = map[yuccaid.Centre]yuccastate.Centre{"odessa-1": {Region: "permian"}}
		first.Added.Tiers = map[yuccaid.Tier]yuccastate.Tier{"urgent": {Rank: 0}}
		state, err := yuccastate.Empty().Apply(first)
		Expect(err).NotTo(HaveOccurred())
		second := yuccastate.Note{Number: 2, Base: state.Digest(), Author: "bo"}
		second.Added.Tiers = map[yuccaid.Tier]yuccastate.Tier{"bulk": {Rank: 1}}
		racing := second
		racing.Base = yuccastate.Empty().Digest()
		for name, raw := range map[string][]byte{
			"0001.yaml":      first.Canonical(),
			"0002.yaml":      second.Canonical(),
			"racing.yaml":    racing.Canonical(),
			"unknown.yaml":   []byte("number: 3\nsurplus: true\n"),
			"settings.yaml":  []byte("vm: entry-1\ncentre: odessa-1\nsurplus: 1\n"),
			"daemon.yaml":    []byte("vm: entry-1\ncentre: odessa-1\nlisten:\n  caller: 127.0.0.1:7001\n  peer: 127.0.0.1:7001\n  operator: 127.0.0.1:7003\nplatform: http://127.0.0.1:8500\nfleetKeyFile: missing.key\n"),
			"fleet-key.file": []byte(strings.Repeat("k", 40)),
		} {
			Expect(os.WriteFile(filepath.Join(dir, name), raw, 0o600)).To(Succeed())
		}
	})

	DescribeTable("print what the golden files hold",
		func(golden string, code int, args ...string) {
			output, got := tool(dir, args...)
			Expect(got).To(Equal(code), output)
			path := filepath.Join("testdata", golden+".golden")
			if *update {
				Expect(os.WriteFile(path, []byte(output), 0o600)).To(Succeed())
			}
			expected, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(output).To(Equal(string(expected)))
		},
		Entry("help", "help", 0, "--help"),
		Entry("serve", "help-serve", 0, "serve", "--help"),
		Entry("request", "help-request", 0, "request", "--help"),
		Entry("explain", "help-explain", 0, "explain", "--help"),
		Entry("where", "help-where", 0, "where", "--help"),
		Entry("an unknown command", "unknown-command", 2, "serv"),
		Entry("an unknown flag", "unknown-flag", 2, "serve", "--setings", "x"),
		Entry("good notes", "note-check", 0, "note", "check", "0001.yaml", "0002.yaml"),
		Entry("a note that lost a race", "note-racing", 2, "note", "check", "0001.yaml", "racing.yaml"),
		Entry("a note with an unknown key", "note-unknown", 2, "note", "check", "unknown.yaml"),
		Entry("what a note changes", "note-diff", 0, "note", "diff", "0001.yaml", "0002.yaml"),
		Entry("settings with an unknown key", "check-unknown", 2, "check", "settings.yaml"),
		Entry("settings with a double address and no key", "check-double", 2, "check", "daemon.yaml"),
		Entry("a daemon on such settings", "check-double", 2, "serve", "--settings", "daemon.yaml"),
	)
})
