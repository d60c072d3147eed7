package yuccaplace

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Run is one granted request on its target.
type Run struct {
	ID          yuccaid.RequestText
	Rank        int
	Cancellable bool
	Long        bool
	Prompt      yuccaid.Tokens
	Cached      yuccaid.Tokens
	Answer      yuccaid.Tokens
	Answered    yuccaid.Tokens
	Began       time.Time
	First       time.Time

	node *Node
}

// Target returns where the run is.
func (run *Run) Target() yuccaid.Target {
	return run.node.Target.Name
}

// Prefilling reports whether the target still works on the prompt or hasn't begun.
func (run *Run) Prefilling() bool {
	return run.First.IsZero()
}

func (run *Run) uncached() yuccaid.Tokens {
	return max(run.Prompt-run.Cached, 1)
}
