package yuccahop

import "strconv"

// causeBytes bounds the text of a cause, since net/http quotes the whole line that it can't parse.
const causeBytes = 400

// UnsentError says that no byte of a request left, so it surely didn't run.
type UnsentError struct {
	Address string
	Cause   error
}

// Error names the target and the remedy.
func (err *UnsentError) Error() string {
	return "nothing sent to " + err.Address + ": " + err.Cause.Error() + ": send it to another target"
}

// Unwrap returns the network's own error.
func (err *UnsentError) Unwrap() error { return err.Cause }

// LostError says that a request was sent and no answer of its own came.
type LostError struct {
	Address string
	Cause   error
}

// Error names the target and what may be done.
func (err *LostError) Error() string {
	return "no answer from " + err.Address + ": " + shortened(err.Cause.Error()) + ": it may have run, repeat it only if it is idempotent"
}

// Unwrap returns the network's own error.
func (err *LostError) Unwrap() error { return err.Cause }

func shortened(text string) string {
	if len(text) <= causeBytes {
		return text
	}
	return text[:causeBytes] + "..."
}

// TooLongError says that a target sent more than is read before the end of an answer's head.
type TooLongError struct {
	// What names the part that was too long.
	What string
	// Limit is how much of it is read, in Unit.
	Limit int
	Unit  string
}

// Error names the part, its limit and the remedy.
func (err *TooLongError) Error() string {
	return err.What + " had more than " + strconv.Itoa(err.Limit) + " " + err.Unit + ": have the target send less before the body of its answer"
}
