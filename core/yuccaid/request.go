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
	requestFields = 5
	macBytes      = 16
)

// ErrForged says that a request id was not issued by a daemon of this fleet.
var ErrForged = errors.New("request id is not one of this fleet: open a request and use the id it returns")

// RequestIDFields is a request's id, which names the daemon that owns it.
//
// Issued is read on the owner's clock and only the owner compares it with the
// present, so clocks of different VMs are never compared.
type RequestIDFields struct {
	Owner   Incarnation
	Counter uint64
	Issued  time.Time
}

// Key signs request ids; every daemon of a fleet has the same.
type Key []byte

// Sign returns the id's signed form, "vm.nonce.counter.issued.mac" with the
// numbers in hex and the time of issue in Unix milliseconds.
func (req RequestIDFields) Sign(key Key) RequestID {
	body := req.body()
	return RequestID(body + "." + sign(key, body))
}

// RequestID is a request id as callers and other processes see it.
type RequestID string

// Parse checks the signature and returns the id.
func (text RequestID) Parse(key Key) (RequestIDFields, error) {
	parts := strings.Split(string(text), ".")
	if len(parts) != requestFields {
		return RequestIDFields{}, ErrForged
	}
	body := strings.Join(parts[:requestFields-1], ".")
	if !hmac.Equal([]byte(sign(key, body)), []byte(parts[requestFields-1])) {
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

func (req RequestIDFields) body() string {
	return fmt.Sprintf("%s.%x.%x", req.Owner, req.Counter, req.Issued.UnixMilli())
}

func sign(key Key, body string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}
