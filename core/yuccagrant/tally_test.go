package yuccagrant_test

import (
	"cmp"
	"slices"
)

// tally counts what became of the requests of one kind.
type tally struct {
	submitted, onTime, served, refused int
}

// onTimeShare returns the share of requests that were answered on time.
func (tl tally) onTimeShare() float64 { return float64(tl.onTime) / float64(max(tl.submitted, 1)) }

// servedShare returns the share of requests that were served, whether on time or late.
func (tl tally) servedShare() float64 { return float64(tl.served) / float64(max(tl.submitted, 1)) }

func (tl *tally) add(other tally) {
	tl.submitted += other.submitted
	tl.onTime += other.onTime
	tl.served += other.served
	tl.refused += other.refused
}

func (tl *tally) count(jb *job) {
	tl.submitted++
	if jb.done {
		tl.served++
	}
	if jb.done && jb.onTime {
		tl.onTime++
	}
	if jb.refused {
		tl.refused++
	}
}

// tally counts the outcomes of the requests of a kind, or of all requests if kind is empty.
func (sim *simulation) tally(kind string) tally {
	var tl tally
	for _, jb := range sim.jobsOf(kind) {
		tl.count(jb)
	}
	return tl
}

// largestTenth tallies the tenth of a kind's requests with the most work.
func (sim *simulation) largestTenth(kind string) tally {
	jobs := sim.jobsOf(kind)
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.size(), a.size()) })
	var tl tally
	for _, jb := range jobs[:len(jobs)/10] {
		tl.count(jb)
	}
	return tl
}

// jobsOf returns the requests of a kind, or all requests if kind is empty.
func (sim *simulation) jobsOf(kind string) []*job {
	var jobs []*job
	for _, jb := range sim.all {
		if kind == "" || jb.kind == kind {
			jobs = append(jobs, jb)
		}
	}
	return jobs
}

// size weighs a request's prompt and answer by approximately what they cost an engine.
func (jb *job) size() int { return int(jb.prompt) + 60*jb.events }
