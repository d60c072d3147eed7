package yuccastand

import (
	"sync"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccatarget"
)

// Run is one entry of the log of what really ran. An id that was sent twice has two.
// Started and Finished are milliseconds since the stand-in started; Finished is 0
// while the run goes on.
type Run struct {
	ID         string               `json:"id"`
	Operation  string               `json:"operation"`
	Order      int                  `json:"order"`
	Started    int64                `json:"started"`
	Finished   int64                `json:"finished"`
	Cancelled  bool                 `json:"cancelled"`
	Fence      yuccaid.ConfigNumber `json:"fence"`
	Pieces     int                  `json:"pieces"`
	AnswerHash string               `json:"answerHash"`
	// Prefilled counts prompt tokens that were computed, Wasted those of a run that
	// was cancelled.
	Prefilled yuccaid.Tokens `json:"prefilled"`
	Wasted    yuccaid.Tokens `json:"wasted"`
	Cached    yuccaid.Tokens `json:"cached"`
}

// Done reports whether the run has ended.
func (run Run) Done() bool {
	return run.Finished > 0
}

// runLog keeps what ran in the order of arrival.
type runLog struct {
	start time.Time

	mu   sync.Mutex
	runs []*Run
	done []yuccatarget.Order
}

func newRunLog() *runLog {
	return &runLog{start: time.Now()}
}

// add logs a run that has been taken.
func (log *runLog) add(run Run) *Run {
	log.mu.Lock()
	defer log.mu.Unlock()
	run.Order = len(log.runs) + 1
	run.Started = log.sinceStart()
	entry := &run
	log.runs = append(log.runs, entry)
	return entry
}

// change updates an entry that add returned.
func (log *runLog) change(entry *Run, update func(*Run)) {
	log.mu.Lock()
	defer log.mu.Unlock()
	update(entry)
}

// finish closes an entry.
func (log *runLog) finish(entry *Run, update func(*Run)) {
	log.change(entry, func(run *Run) {
		update(run)
		run.Finished = log.sinceStart()
	})
}

func (log *runLog) list() []Run {
	log.mu.Lock()
	defer log.mu.Unlock()
	runs := make([]Run, 0, len(log.runs))
	for _, run := range log.runs {
		runs = append(runs, *run)
	}
	return runs
}

// order logs an order that was carried out.
func (log *runLog) order(order yuccatarget.Order) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.done = append(log.done, order)
}

func (log *runLog) obeyed() []yuccatarget.Order {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]yuccatarget.Order{}, log.done...)
}

// sinceStart is at least 1, since 0 means that a run goes on.
func (log *runLog) sinceStart() int64 {
	return time.Since(log.start).Milliseconds() + 1
}
