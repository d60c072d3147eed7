package yuccastand

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// pieceBytes is how much of a digest goes into a piece's text.
const pieceBytes = 6

// AnswerPiece returns the text of one piece of the answer to a request. It depends on
// the request's id and the position only, so a test can tell the right answer from
// another request's without asking the stand-in.
func AnswerPiece(id string, position int) string {
	sum := sha256.Sum256([]byte(id + "/" + strconv.Itoa(position)))
	return hex.EncodeToString(sum[:pieceBytes]) + " "
}

// Answer returns the whole text of an answer of so many pieces.
func Answer(id string, pieces int) string {
	var text strings.Builder
	for position := range pieces {
		text.WriteString(AnswerPiece(id, position))
	}
	return text.String()
}

// AnswerHash returns the hash that belongs at the end of an answer of so many pieces.
func AnswerHash(id string, pieces int) string {
	sum := sha256.Sum256([]byte(Answer(id, pieces)))
	return hex.EncodeToString(sum[:])
}
