package yuccawire

import (
	"errors"
	"fmt"
)

// ErrNoKey says that a handshake was begun without a fleet key.
var ErrNoKey = errors.New("no fleet key is set: name a file with the fleet's key in the settings")

// OversizedError says that a frame is longer than its reader or writer allows.
type OversizedError struct {
	Length, Limit int
}

// Error names the limit and the remedy.
func (err *OversizedError) Error() string {
	return fmt.Sprintf("frame of %d bytes is over the limit of %d: send it in parts", err.Length, err.Limit)
}

// TruncatedError says that a connection ended inside a frame.
type TruncatedError struct {
	Want, Got int
}

// Error names what is missing and the remedy.
func (err *TruncatedError) Error() string {
	return fmt.Sprintf("connection ended after %d of a frame's %d bytes: dial again and repeat the message if that is safe", err.Got, err.Want)
}

// GarbledError says that a frame's bytes are not a message of the expected form.
type GarbledError struct {
	Kind  Kind
	Cause error
}

// Error names the kind, the cause and the remedy.
func (err *GarbledError) Error() string {
	return fmt.Sprintf("frame of kind %s is garbled (%v): close the connection and check that the peer is a daemon of this fleet", err.Kind, err.Cause)
}

// Unwrap returns the decoder's own error.
func (err *GarbledError) Unwrap() error { return err.Cause }

// UnexpectedError says that a frame of another kind came than the handshake needs.
type UnexpectedError struct {
	Want, Got Kind
}

// Error names both kinds and the remedy.
func (err *UnexpectedError) Error() string {
	return fmt.Sprintf("%s frame where %s was due: check that the peer is a daemon of this fleet", err.Got, err.Want)
}

// VersionError says that the two ends speak different versions of the protocol.
type VersionError struct {
	Ours, Theirs uint16
}

// Error names both versions and the remedy.
func (err *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol version %d, this daemon %d: upgrade the older one", err.Theirs, err.Ours)
}

// KeyError says that a peer did not prove that it holds the fleet's key.
type KeyError struct {
	Address string
}

// Error names the peer and the remedy.
func (err *KeyError) Error() string {
	return fmt.Sprintf("peer %q has not proved the fleet key: give both daemons the same key file", err.Address)
}

// HelloError says that a peer's greeting has a value that can't be used.
type HelloError struct {
	Field, Value string
}

// Error names the field and the remedy.
func (err *HelloError) Error() string {
	return fmt.Sprintf("peer's greeting has an unusable %s %q: check the peer's settings", err.Field, err.Value)
}
