package yuccagate

import (
	"context"
	"io"
	"net/http"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccahop"
)

const (
	// statusTimeout bounds the wait for a target's whole status, and maxStatusBytes the length that is read.
	statusTimeout  = 250 * time.Millisecond
	maxStatusBytes = 64 << 10
)

// hasRestarted reports whether the target of a stream that goes on has started again since it registered. It
// asks the target, because the new registration may not have arrived, and a target that has restarted with
// another version under its id accepts the stream. A target that doesn't tell is taken to be as registered.
func (req *callerRequest) hasRestarted(ctx context.Context, dec decision) bool {
	if dec.startMillis == 0 || req.gate.dialect.StatusPath == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	outgoing := yuccahop.Outgoing{Method: http.MethodGet, URI: req.gate.dialect.StatusPath, Host: dec.address}
	answer, err := req.gate.targetClient.Send(ctx, dec.address, &outgoing, func(http.Header) bool { return true })
	if err != nil {
		return false
	}
	defer answer.Close()
	raw, err := readStatus(answer)
	if err != nil || answer.Status != http.StatusOK {
		return false
	}
	startMillis, found := req.gate.dialect.ReadStart(raw)
	restarted := found && startMillis != dec.startMillis
	if restarted {
		req.logDecision("restarted", "target", dec.target, "registered", dec.startMillis, "started", startMillis)
	}
	return restarted
}

// readStatus reads a status, up to maxStatusBytes. No memory is reserved for it: it is needed for a moment
// only, in which no part of a response is held.
func readStatus(from io.Reader) ([]byte, error) {
	return readAll(io.LimitReader(from, maxStatusBytes), maxStatusBytes, func(yuccaid.Bytes) bool { return true })
}
