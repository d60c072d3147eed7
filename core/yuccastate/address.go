package yuccastate

import (
	"strconv"
	"strings"
)

const (
	ip4Octets    = 4
	maxOctet     = 255
	maxPort      = 65535
	ip6Groups    = 8
	ip6GroupBits = 16
	hexBase      = 16
	// ip4MappedGroup is the sixth group of an IPv4 address that is mapped to IPv6, such as
	// ::ffff:10.0.0.1.
	ip4MappedGroup = 0xffff
)

// ValidAddress reports whether an address consists of an IP address that can be dialled
// and a port from 1 to 65535, such as 10.0.0.1:8000 or [fd00::1]:8000. Host names are
// refused, because the target would have no address until its host name is resolved.
// Each address has only one accepted spelling, so that one target can't be listed
// twice, with its slots counted twice.
func ValidAddress(address string) bool {
	colon := strings.LastIndexByte(address, ':')
	if colon < 0 || !validDecimal(address[colon+1:], maxPort) || address[colon+1:] == "0" {
		return false
	}
	host := address[:colon]
	if inBrackets, opened := strings.CutPrefix(host, "["); opened {
		inBrackets, closed := strings.CutSuffix(inBrackets, "]")
		return closed && validIP6(inBrackets)
	}
	return validIP4(host)
}

// validIP4 refuses the unspecified address 0.0.0.0 and numbers with leading zeros.
func validIP4(host string) bool {
	parts := strings.Split(host, ".")
	if len(parts) != ip4Octets || host == "0.0.0.0" {
		return false
	}
	for _, part := range parts {
		if !validDecimal(part, maxOctet) {
			return false
		}
	}
	return true
}

// validIP6 refuses the unspecified address, IPv4 addresses mapped to IPv6, and
// spellings other than the standard form of RFC 5952.
func validIP6(host string) bool {
	ip, ok := parseIP6(host)
	if !ok || ip == [ip6Groups]uint16{} {
		return false
	}
	if [ip6Groups]uint16{5: ip[5], 6: ip[6], 7: ip[7]} == ip && ip[5] == ip4MappedGroup {
		return false
	}
	return formatIP6(ip) == host
}

func parseIP6(host string) (ip [ip6Groups]uint16, ok bool) {
	left, right, compressed := strings.Cut(host, "::")
	before, leftOK := parseIP6Groups(left)
	after, rightOK := parseIP6Groups(right)
	count := len(before) + len(after)
	if !leftOK || !rightOK || count > ip6Groups || !compressed && count < ip6Groups {
		return ip, false
	}
	copy(ip[:], before)
	copy(ip[ip6Groups-len(after):], after)
	return ip, true
}

// parseIP6Groups parses the groups on one side of "::"; an empty side has no groups.
func parseIP6Groups(text string) ([]uint16, bool) {
	if text == "" {
		return nil, true
	}
	var parsed []uint16
	for part := range strings.SplitSeq(text, ":") {
		group, err := strconv.ParseUint(part, hexBase, ip6GroupBits)
		if err != nil {
			return nil, false
		}
		parsed = append(parsed, uint16(group))
	}
	return parsed, true
}

// formatIP6 returns the standard form of RFC 5952: lower case, no leading zeros, and
// the first of the longest runs of two or more zero groups replaced by "::".
func formatIP6(ip [ip6Groups]uint16) string {
	from, to := longestZeroRun(ip)
	var text strings.Builder
	for i := 0; i < ip6Groups; i++ {
		if i == from {
			text.WriteString("::")
			i = to - 1
			continue
		}
		if i > 0 && i != to {
			text.WriteByte(':')
		}
		text.WriteString(strconv.FormatUint(uint64(ip[i]), hexBase))
	}
	return text.String()
}

// longestZeroRun returns the bounds of the first of the longest runs of two or more zero
// groups, or -1, -1 if there is none.
func longestZeroRun(ip [ip6Groups]uint16) (from, to int) {
	from, to = -1, -1
	for i := range ip6Groups {
		end := i
		for end < ip6Groups && ip[end] == 0 {
			end++
		}
		if end-i > max(to-from, 1) {
			from, to = i, end
		}
	}
	return from, to
}

// validDecimal reports whether text is a number from 0 to limit without sign or leading
// zeros.
func validDecimal(text string, limit int) bool {
	number, err := strconv.Atoi(text)
	return err == nil && number >= 0 && number <= limit && text == strconv.Itoa(number)
}
