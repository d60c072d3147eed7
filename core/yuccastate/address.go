package yuccastate

import (
	"strconv"
	"strings"
)

const (
	octets     = 4
	octetLimit = 255
	portLimit  = 65535
	groups     = 8
	groupBits  = 16
	hexBase    = 16
	// mappedMarker is the sixth group of an IPv4 address mappedMarker to IPv6 (::ffff:a.b.c.d).
	mappedMarker = 0xffff
)

// ValidAddress reports whether an address consists of an IP address that can be dialled
// and a port, such as 10.0.0.1:8000 or [fd00::1]:8000. Host names are refused, because
// the target would have no address until they are resolved. Each address has only one
// accepted spelling, so that one target can't be listed twice, with its slots counted
// twice.
func ValidAddress(address string) bool {
	at := strings.LastIndexByte(address, ':')
	if at < 0 || !validDecimal(address[at+1:], portLimit) || address[at+1:] == "0" {
		return false
	}
	host := address[:at]
	if inner, bracket := strings.CutPrefix(host, "["); bracket {
		inner, closed := strings.CutSuffix(inner, "]")
		return closed && validIP6(inner)
	}
	return validIP4(host)
}

func validIP4(host string) bool {
	parts := strings.Split(host, ".")
	if len(parts) != octets || host == "0.0.0.0" {
		return false
	}
	for _, part := range parts {
		if !validDecimal(part, octetLimit) {
			return false
		}
	}
	return true
}

func validIP6(host string) bool {
	number, ok := parseIP6(host)
	if !ok || number == [groups]uint16{} {
		return false
	}
	if [groups]uint16{5: number[5], 6: number[6], 7: number[7]} == number && number[5] == mappedMarker {
		return false
	}
	return formatIP6(number) == host
}

func parseIP6(host string) (number [groups]uint16, ok bool) {
	left, right, short := strings.Cut(host, "::")
	before, leftOK := parseGroups(left)
	after, rightOK := parseGroups(right)
	count := len(before) + len(after)
	if !leftOK || !rightOK || count > groups || !short && count < groups {
		return number, false
	}
	copy(number[:], before)
	copy(number[groups-len(after):], after)
	return number, true
}

func parseGroups(text string) ([]uint16, bool) {
	if text == "" {
		return nil, true
	}
	var parsed []uint16
	for part := range strings.SplitSeq(text, ":") {
		group, err := strconv.ParseUint(part, hexBase, groupBits)
		if err != nil {
			return nil, false
		}
		parsed = append(parsed, uint16(group))
	}
	return parsed, true
}

// formatIP6 returns the standard form of RFC 5952: lower case, no leading zeros, and
// the first of the longest runs of two or more zero groups replaced by "::".
func formatIP6(number [groups]uint16) string {
	from, to := longestZeros(number)
	var text strings.Builder
	for i := 0; i < groups; i++ {
		if i == from {
			text.WriteString("::")
			i = to - 1
			continue
		}
		if i > 0 && i != to {
			text.WriteByte(':')
		}
		text.WriteString(strconv.FormatUint(uint64(number[i]), hexBase))
	}
	return text.String()
}

func longestZeros(number [groups]uint16) (from, to int) {
	from, to = -1, -1
	for i := range groups {
		end := i
		for end < groups && number[end] == 0 {
			end++
		}
		if end-i > max(to-from, 1) {
			from, to = i, end
		}
	}
	return from, to
}

func validDecimal(text string, limit int) bool {
	number, err := strconv.Atoi(text)
	return err == nil && number >= 0 && number <= limit && text == strconv.Itoa(number)
}
