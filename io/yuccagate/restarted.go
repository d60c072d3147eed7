package yuccagate

import (
	"context"
	"fmt"
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
	raw, err := req.gate.askTarget(ctx, dec.address, req.gate.dialect.StatusPath, maxStatusBytes)
	if err != nil {
		return false
	}
	startMillis, found := req.gate.dialect.ReadStart(raw)
	restarted := found && startMillis != dec.startMillis
	if restarted {
		req.logDecision("restarted", "target", dec.target, "registered", dec.startMillis, "started", startMillis)
	}
	return restarted
}

// askTarget asks a target for what it says of itself at a path, up to a length.
func (gate *Gate) askTarget(ctx context.Context, address, path string, maxBytes int64) ([]byte, error) {
	outgoing := yuccahop.Outgoing{Method: http.MethodGet, URI: path, Host: address}
	answer, err := gate.targetClient.Send(ctx, address, &outgoing, func(http.Header) bool { return true })
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		return nil, fmt.Errorf("the target answered %d at %s", answer.Status, path)
	}
	return readStatus(answer, maxBytes)
}

// readStatus reads what a target says of itself, up to a length. No memory is reserved for it: it is needed for a
// moment only, in which no part of a response is held.
func readStatus(from io.Reader, maxBytes int64) ([]byte, error) {
	return readAll(io.LimitReader(from, maxBytes), maxBytes, func(yuccaid.Bytes) bool { return true })
}
