package yuccahead

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

const (
	// firstStatus and lastStatus are the statuses that the protocol has.
	firstStatus = 100
	lastStatus  = 599
	// quotedBytes bounds what an error quotes of a head.
	quotedBytes = 60
)

// GarbledError says that a head is none in the protocol, so that its answer can't be used.
type GarbledError struct {
	// What names the part at fault, and Text is what it held.
	What string
	Text string
}

// Error names the part and the remedy.
func (err *GarbledError) Error() string {
	text := err.Text
	if len(text) > quotedBytes {
		text = text[:quotedBytes] + "..."
	}
	return "the head of an answer has " + err.What + " " + strconv.Quote(text) + ": mend what sent it"
}

// CheckHTTP1 is Check for a head that was read from a connection of HTTP/1, and checks its version as well.
func CheckHTTP1(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &GarbledError{What: "the version", Text: resp.Proto}
	}
	return Check(resp)
}

// Check returns a *GarbledError if the head isn't one of an answer in the protocol. A head that switches to another protocol is
// none either, since nobody asks for that.
func Check(resp *http.Response) error {
	if !IsStatus(resp.StatusCode) || resp.StatusCode == http.StatusSwitchingProtocols {
		return &GarbledError{What: "the status", Text: resp.Status}
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &GarbledError{What: "a field with the name", Text: name}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &GarbledError{What: "a field " + name + " with the value", Text: value}
			}
		}
	}
	return nil
}

// IsStatus reports whether the protocol has the status.
func IsStatus(code int) bool { return firstStatus <= code && code <= lastStatus }
