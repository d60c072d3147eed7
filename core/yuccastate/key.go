package yuccastate

import (
	"fmt"
	"strconv"
	"strings"

	"yuccacleat/core/yuccaid"
)

const (
	// NotePrefix is the prefix of the keys of release notes in the platform's store.
	NotePrefix = "notes/"
	// BaselinePrefix is the prefix of the keys of baseline parts in the platform's
	// store.
	BaselinePrefix = "baselines/"

	// keyNumberDigits is the width to which numbers in keys are padded with zeros.
	keyNumberDigits = 10
)

// NoteKey returns the key under which a note is published.
func NoteKey(number yuccaid.ConfigNumber) string {
	return fmt.Sprintf("%s%0*d", NotePrefix, keyNumberDigits, number)
}

// PartKey returns the key under which a part of a baseline is published.
func PartKey(number yuccaid.ConfigNumber, index int) string {
	return fmt.Sprintf("%s%0*d/%04d", BaselinePrefix, keyNumberDigits, number, index)
}

// ParseNoteKey returns the number in a note's key; it accepts only what NoteKey returns.
func ParseNoteKey(key string) (yuccaid.ConfigNumber, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(key, NotePrefix), 10, 64)
	if err != nil || number == 0 || key != NoteKey(yuccaid.ConfigNumber(number)) {
		return 0, newRefusal(0, ErrKey, key, "publish notes as "+NoteKey(1), "is no note's key")
	}
	return yuccaid.ConfigNumber(number), nil
}

// ParsePartKey returns the number and the index in a baseline part's key; it accepts
// only what PartKey returns.
func ParsePartKey(key string) (yuccaid.ConfigNumber, int, error) {
	text, tail, _ := strings.Cut(strings.TrimPrefix(key, BaselinePrefix), "/")
	number, numberErr := strconv.ParseUint(text, 10, 64)
	index, indexErr := strconv.Atoi(tail)
	if numberErr != nil || indexErr != nil || key != PartKey(yuccaid.ConfigNumber(number), index) {
		return 0, 0, newRefusal(0, ErrKey, key, "publish parts as "+PartKey(1, 0), "is no part's key")
	}
	return yuccaid.ConfigNumber(number), index, nil
}
