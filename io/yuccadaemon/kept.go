package yuccadaemon

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// answerOverhead is what an answer costs beside its bytes, so that many short ones are
// bounded as well.
const answerOverhead = yuccaid.Bytes(512)

// keep holds a closed answer for callers whose connection broke.
func (d *Daemon) keep(now time.Time, answer *Answer) {
	d.kept.Put(now, answer.id, answer, answer.size()+answerOverhead)
}

// undelivered counts closed answers whose outcome no caller has been told yet.
func (d *Daemon) undelivered() int {
	count := 0
	d.kept.ForEach(func(answer *Answer) {
		if !answer.delivered() {
			count++
		}
	})
	return count
}
