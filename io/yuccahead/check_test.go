package yuccahead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"yuccacleat/io/yuccahead"
)

// Guards against the failure that what is no head of an answer, and what net/http parses all the same, is taken for one.
func TestHeadsThatAreNone(t *testing.T) {
	for _, test := range []struct {
		name, head string
		sound      bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n", true},
		{"an older version", "HTTP/1.0 404 Not Found\r\n", true},
		{"a value with a tab and other letters", "HTTP/1.1 200 OK\r\nX: a\tb \xc3\xa9\r\n", true},
		{"a status without a reason", "HTTP/1.1 599\r\n", true},
		{"status 000", "HTTP/1.1 000 \r\nContent-Length: 0\r\n", false},
		{"status 099", "HTTP/1.1 099 Low\r\n", false},
		{"status +20", "HTTP/1.1 +20 OK\r\n", false},
		{"status 600", "HTTP/1.1 600 High\r\n", false},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n", false},
		{"another version", "HTTP/2.0 200 OK\r\n", false},
		{"a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n", false},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX Id: a\r\n", false},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Id: a\r\n", false},
		{"no name", "HTTP/1.1 200 OK\r\n: a\r\n", false},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nX: a\x00b\r\n", false},
		{"a carriage return in a value", "HTTP/1.1 200 OK\r\nX: a\rContent-Length: 5\r\n", false},
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(test.head+"\r\n")), nil)
		if err == nil {
			err = yuccahead.CheckHTTP1(resp)
		}
		if sound := err == nil; sound != test.sound {
			t.Errorf("%s: got %v, want it to be sound: %v", test.name, err, test.sound)
		}
	}
}
