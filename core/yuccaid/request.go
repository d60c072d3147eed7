package yuccaid

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// requestIDParts is the number of parts, separated by dots, of a request id's text.
	requestIDParts = 5
	// signatureBytes is the length in bytes to which the HMAC-SHA-256 is truncated.
	signatureBytes = 16
)

// ErrForged is returned for a request id that no daemon of this fleet has issued.
var ErrForged = errors.New("request id is not one of this fleet: open a request and use the id it returns")

// RequestIDFields holds the content of a request id: the daemon that owns the request,
// a counter that is unique within that daemon, and the time of issue.
//
// Issued is a reading of the owner's clock. Only the owner compares it with the current
// time, so clocks of different VMs are never compared.
type RequestIDFields struct {
	Owner   Incarnation
	Counter uint64
	Issued  time.Time
}

// Key is the secret that signs request ids. All daemons of a fleet share it.
type Key []byte

// Sign returns the signed id, "vm.nonce.counter.issued.signature", with the numbers and the
// signature in hex and the time of issue in Unix milliseconds.
func (fields RequestIDFields) Sign(key Key) RequestID {
	body := fields.body()
	return RequestID(body + "." + sign(key, body))
}

// RequestID is the signed text of a request id, the form that callers and other
// processes get.
type RequestID string

// Parse checks the signature and returns the id's fields. For any other text than the result
// of Sign with the same key it returns ErrForged.
func (id RequestID) Parse(key Key) (RequestIDFields, error) {
	parts := strings.Split(string(id), ".")
	if len(parts) != requestIDParts {
		return RequestIDFields{}, ErrForged
	}
	body := strings.Join(parts[:requestIDParts-1], ".")
	if !hmac.Equal([]byte(sign(key, body)), []byte(parts[requestIDParts-1])) {
		return RequestIDFields{}, ErrForged
	}
	owner, err := ParseIncarnation(parts[0] + "." + parts[1])
	if err != nil {
		return RequestIDFields{}, ErrForged
	}
	counter, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return RequestIDFields{}, ErrForged
	}
	issued, err := strconv.ParseInt(parts[3], 16, 64)
	if err != nil {
		return RequestIDFields{}, ErrForged
	}
	return RequestIDFields{Owner: owner, Counter: counter, Issued: time.UnixMilli(issued)}, nil
}

// body returns the part of the id that is signed.
func (fields RequestIDFields) body() string {
	return fmt.Sprintf("%s.%x.%x", fields.Owner, fields.Counter, fields.Issued.UnixMilli())
}

// sign returns the truncated HMAC-SHA-256 of body in hex.
func sign(key Key, body string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return hex.EncodeToString(mac.Sum(nil)[:signatureBytes])
}
