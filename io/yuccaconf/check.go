package yuccaconf

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate/yuccayaml"
)

const (
	nameRemedy    = "use 1 to 63 lower-case letters, digits and hyphens"
	addressRemedy = "write an IP number and a port, as 10.0.0.1:7000"

	// longestDrainLimit keeps a forgotten daemon from holding its VM for ever.
	longestDrainLimit = 24 * time.Hour
	// lifeLimit bounds how long closed requests are remembered, and so the memory.
	lifeLimit = 24 * time.Hour
)

// checker collects what is wrong with settings, with the line of each key.
type checker struct {
	lines    yuccayaml.Lines
	problems yuccayaml.Problems
}

func (check *checker) report(kind error, key, remedy, detail string, args ...any) {
	if check.known(key) {
		return
	}
	prob := &yuccayaml.Problem{Kind: kind, Line: check.lines.Of(key), Key: key, Detail: fmt.Sprintf(detail, args...), Remedy: remedy}
	check.problems = append(check.problems, prob)
}

// known reports whether a mistake at the key was found already; one mistake, one line.
func (check *checker) known(key string) bool {
	return slices.ContainsFunc(check.problems, func(prob *yuccayaml.Problem) bool { return prob.Key == key })
}

func (check *checker) present(key, value, remedy string) bool {
	if value == "" {
		check.report(ErrMissing, key, remedy, "is missing")
	}
	return value != ""
}

func (check *checker) settings(settings *Settings) {
	check.name("vm", string(settings.VM), "name this VM as the platform's list does")
	check.name("centre", string(settings.Centre), "name this VM's data centre")
	check.listen(settings)
	check.platform(settings.Platform)
	check.seeds(settings.Seeds)
	check.span("longestDrain", settings.LongestDrain, longestDrainLimit)
	levels := []Level{LevelDebug, LevelInfo, LevelWarn, LevelError}
	if !slices.Contains(levels, settings.Log.Level) {
		check.report(ErrRange, "log.level", "write debug, info, warn or error", "is %q", settings.Log.Level)
	}
	check.limits(settings.Limits)
}

func (check *checker) name(key, value, remedy string) {
	if check.present(key, value, remedy) && !yuccaid.ValidName(value) {
		check.report(ErrRange, key, nameRemedy, "%q is no name", value)
	}
}

// listen checks the addresses of this VM. Two listeners on one address would fail at
// start, and a peer that dials an unspecified address reaches itself.
func (check *checker) listen(settings *Settings) {
	used := map[netip.AddrPort]string{}
	addresses := []struct{ key, value string }{
		{"listen.caller", settings.Listen.Caller},
		{"listen.peer", settings.Listen.Peer},
		{"listen.operator", settings.Listen.Operator},
	}
	for _, listen := range addresses {
		address, valid := check.address(listen.key, listen.value, anyPort)
		if !valid || address.Port() == 0 {
			continue
		}
		if other, twice := overlaps(used, address); twice {
			check.report(ErrDoubleAddress, listen.key, "give each listener its own port", "%s is taken by %s", address, other)
		}
		used[address] = listen.key
	}
	check.advertise(settings)
}

// advertise may be left out where the peers' listener has an address to dial.
func (check *checker) advertise(settings *Settings) {
	peer, err := netip.ParseAddrPort(settings.Listen.Peer)
	if settings.Advertise == "" && err == nil && !peer.Addr().IsUnspecified() {
		return
	}
	address, valid := check.address("advertise", settings.Advertise, fixedPort)
	if valid && address.Addr().IsUnspecified() {
		check.report(ErrAddress, "advertise", "write the address at which other daemons reach listen.peer", "%s is no address to dial", address)
	}
}

// overlaps finds a listener with the same port on the same address or on all.
func overlaps(used map[netip.AddrPort]string, address netip.AddrPort) (string, bool) {
	for other, key := range used {
		wide := other.Addr().IsUnspecified() || address.Addr().IsUnspecified()
		if other.Port() == address.Port() && (wide || other.Addr() == address.Addr()) {
			return key, true
		}
	}
	return "", false
}

// portRule says whether port 0, which stands for any free one, is an answer.
type portRule bool

const (
	fixedPort portRule = false
	anyPort   portRule = true
)

func (check *checker) address(key, value string, rule portRule) (netip.AddrPort, bool) {
	if !check.present(key, value, addressRemedy) {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || (address.Port() == 0 && rule == fixedPort) {
		check.report(ErrAddress, key, addressRemedy, "%q is no address", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

func (check *checker) platform(value string) {
	const remedy = "write the address of the platform's service, as http://10.0.0.2:8500"
	if !check.present("platform", value, remedy) {
		return
	}
	base, err := url.Parse(value)
	web := err == nil && (base.Scheme == "http" || base.Scheme == "https")
	if !web || base.Host == "" || strings.Trim(base.Path, "/") != "" || base.RawQuery != "" {
		check.report(ErrAddress, "platform", remedy, "%q is no such address", value)
	}
}

// seeds may name this daemon itself, so that a fleet can share one list.
func (check *checker) seeds(seeds []string) {
	first := map[netip.AddrPort]int{}
	for i, seed := range seeds {
		key := fmt.Sprintf("seeds.%d", i)
		address, valid := check.address(key, seed, fixedPort)
		if !valid {
			continue
		}
		if other, twice := first[address]; twice {
			check.report(ErrDoubleAddress, key, "list it once", "%s is seeds.%d already", address, other)
			continue
		}
		first[address] = i
	}
}

func (check *checker) span(key string, span, limit time.Duration) {
	if span <= 0 || span > limit {
		check.report(ErrRange, key, "write a duration up to "+limit.String(), "is %s", span)
	}
}

func (check *checker) limits(limits Limits) {
	check.positive("limits.requests", int64(limits.Requests))
	check.positive("limits.callers", int64(limits.Callers))
	check.positive("limits.body", int64(limits.Body))
	check.positive("limits.answers", int64(limits.Answers))
	check.span("limits.answerLife", limits.AnswerLife, lifeLimit)
	check.span("limits.requestLife", limits.RequestLife, lifeLimit)
	if limits.AnswerLife > limits.RequestLife {
		check.report(ErrRange, "limits.answerLife", "make it shorter than limits.requestLife", "%s outlives its request's %s", limits.AnswerLife, limits.RequestLife)
	}
}

func (check *checker) positive(key string, amount int64) {
	if amount <= 0 {
		check.report(ErrRange, key, "write an amount above 0", "is %d", amount)
	}
}
