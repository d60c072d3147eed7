package yuccastate

import (
	"strconv"
	"strings"
)

const (
	octets       = 4
	octetLimit   = 255
	portLimit    = 65535
	groups       = 8
	groupDigits  = 4
	hexDigits    = "0123456789abcdef"
	decimalDigit = "0123456789"
)

// ValidAddress reports whether an address is an IP number and a port, such as
// 10.0.0.1:8000 or [fd00::1]:8000. Names are refused: looking them up takes time in
// which the present configuration would have no address.
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
	if len(parts) != octets {
		return false
	}
	for _, part := range parts {
		if !validDecimal(part, octetLimit) {
			return false
		}
	}
	return true
}

// validIP6 accepts lower case without leading zeros only, so that one address has
// hardly more than one spelling.
func validIP6(host string) bool {
	left, right, short := strings.Cut(host, "::")
	if !short {
		return validGroups(host) == groups
	}
	before, after := validGroups(left), validGroups(right)
	return before >= 0 && after >= 0 && before+after < groups
}

// validGroups counts groups of hex digits, -1 if one is wrong.
func validGroups(text string) int {
	if text == "" {
		return 0
	}
	parts := strings.Split(text, ":")
	for _, part := range parts {
		zero := strings.HasPrefix(part, "0") && part != "0"
		if part == "" || len(part) > groupDigits || zero || strings.Trim(part, hexDigits) != "" {
			return -1
		}
	}
	return len(parts)
}

func validDecimal(text string, limit int) bool {
	number, err := strconv.Atoi(text)
	return err == nil && number <= limit && text == strconv.Itoa(number) && strings.Trim(text, decimalDigit) == ""
}
