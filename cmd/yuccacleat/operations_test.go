package main_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

// commandLine finds the commands that the operators' page shows.
var commandLine = regexp.MustCompile(`(?m)^\s+\$ yuccacleat (.*)$`)

var _ = Describe("the operators' page", func() {
	It("shows commands that work as they stand", func() {
		page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
		Expect(err).NotTo(HaveOccurred())
		fl := newFleet(1, unlike...)
		first := fl.firstNote()
		first.Number = 1
		first.Base = yuccastate.Empty().Digest()
		second := yuccastate.Note{Number: 2, Base: fl.state.Digest(), Author: "operator"}
		second.Added.Centres = map[yuccaid.Centre]yuccastate.Centre{"verona-1": {Region: "italy"}}
		settings, err := os.ReadFile(filepath.Join(fl.dir, "entry-1.yaml"))
		Expect(err).NotTo(HaveOccurred())
		for name, raw := range map[string][]byte{
			"0001.yaml": first.Canonical(), "0002.yaml": second.Canonical(),
			"desk.secret": []byte(secret + "\n"), "daemon.yaml": settings,
		} {
			Expect(os.WriteFile(filepath.Join(fl.dir, name), raw, 0o600)).To(Succeed())
		}
		addresses := strings.NewReplacer("10.0.0.11:7001", fl.daemons[0].addresses.Caller, "10.0.0.11:7003", fl.daemons[0].addresses.Operator)
		commands := commandLine.FindAllStringSubmatch(string(page), -1)
		Expect(commands).NotTo(BeEmpty())
		for _, command := range commands {
			output, code := tool(fl.dir, arguments(addresses.Replace(command[1]))...)
			Expect(code).To(Equal(0), "%s: %s", command[1], output)
		}
	})
})

// arguments splits a command at blanks outside of quotes.
func arguments(line string) []string {
	var list []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			list = append(list, part)
			continue
		}
		list = append(list, strings.Fields(part)...)
	}
	return list
}
