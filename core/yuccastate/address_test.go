package yuccastate_test

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccastate"
)

// TestValidAddress guards against an address that is accepted in two spellings or can't be
// dialled. It compares ValidAddress with net/netip, which the core packages do not import:
// an address is valid if netip parses it, formats it to the same text, and it
// can be dialled.
func TestValidAddress(t *testing.T) {
	hosts := rapid.OneOf(
		rapid.StringMatching(`(0|1|9|10|25[0-9]|01|300)(\.(0|1|127|255|256|00)){3,4}`),
		rapid.StringMatching(`\[(::)?((0|1|fd00|ffff|0a|A|12345):){0,7}:?((0|1|ff|10):){0,7}(::|0|1|ffff|1\.2\.3\.4)?(%eth0)?\]`),
		rapid.Map(rapid.SliceOfN(rapid.SampledFrom([]byte{0, 0, 0, 1, 0xff}), 16, 16), func(raw []byte) string {
			return "[" + netip.AddrFrom16([16]byte(raw)).String() + "]"
		}),
		rapid.SampledFrom([]string{"", "localhost", "[::]", "[::1]", "::1", "[", "]", "[[::1]]", "[::ffff:102:304]"}),
	)
	rapid.Check(t, func(t *rapid.T) {
		address := hosts.Draw(t, "host") + rapid.SampledFrom([]string{":80", ":80", ":0", ":65536", ":08", "", ":"}).Draw(t, "port")
		parsed, err := netip.ParseAddrPort(address)
		ip := parsed.Addr()
		want := err == nil && parsed.String() == address && parsed.Port() > 0 && !ip.IsUnspecified() && !ip.Is4In6() && ip.Zone() == ""
		if yuccastate.ValidAddress(address) != want {
			t.Fatalf("%q: want %v", address, want)
		}
	})
}
