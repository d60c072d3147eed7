package yuccahop

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
	return "no answer from " + err.Address + ": " + err.Cause.Error() + ": it may have run, repeat it only if it is idempotent"
}

// Unwrap returns the network's own error.
func (err *LostError) Unwrap() error { return err.Cause }
