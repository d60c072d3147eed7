// Package yuccahead checks the heads of answers that net/http has parsed.
//
// net/http passes over faults that tell of an answer which isn't one in the protocol: a status such as 000, and names of
// fields that hold a blank, so that "Content-Length : 5" is no length. Who takes such a head for an answer may take a body for
// one that isn't the sender's, so everything that reads answers of targets or of the platform calls Check first.
package yuccahead
