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

// Request is a request's id, which names the daemon that owns it.
//
// Issued is read on the owner's clock and only the owner compares it with the
// present, so clocks of different VMs are never compared.
type Request struct {
	Owner   Incarnation
	Counter uint64
	Issued  time.Time
}

// Key signs request ids; every daemon of a fleet has the same.
type Key []byte

// Text returns the id's signed form, "vm.nonce.counter.issued.mac" with the
// numbers in hex and the time of issue in Unix milliseconds.
func (req Request) Text(key Key) RequestText {
	body := req.body()
	return RequestText(body + "." + sign(key, body))
}

// RequestText is a request id as callers and other processes see it.
type RequestText string

// Parse checks the signature and returns the id.
func (text RequestText) Parse(key Key) (Request, error) {
	parts := strings.Split(string(text), ".")
	if len(parts) != requestFields {
		return Request{}, ErrForged
	}
	body := strings.Join(parts[:requestFields-1], ".")
	if !hmac.Equal([]byte(sign(key, body)), []byte(parts[requestFields-1])) {
		return Request{}, ErrForged
	}
	owner, err := ParseIncarnation(parts[0] + "." + parts[1])
	if err != nil {
		return Request{}, ErrForged
	}
	counter, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return Request{}, ErrForged
	}
	issued, err := strconv.ParseInt(parts[3], 16, 64)
	if err != nil {
		return Request{}, ErrForged
	}
	return Request{Owner: owner, Counter: counter, Issued: time.UnixMilli(issued)}, nil
}

func (req Request) body() string {
	return fmt.Sprintf("%s.%x.%x", req.Owner, req.Counter, req.Issued.UnixMilli())
}

func sign(key Key, body string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}
