package yuccadaemon

import (
	"container/list"
	"time"

	"yuccacleat/core/yuccaid"
)

// keptAnswers holds whole answers, oldest first out.
type keptAnswers struct {
	byID  map[yuccaid.RequestText]*list.Element
	order *list.List
	bytes yuccaid.Bytes

	// limit and life bound the memory; answers that were pushed out are reported as
	// gone, never shortened.
	limit yuccaid.Bytes
	life  time.Duration
}

type keptAnswer struct {
	answer *Answer
	until  time.Time
}

func newKeptAnswers(limit yuccaid.Bytes, life time.Duration) *keptAnswers {
	return &keptAnswers{byID: make(map[yuccaid.RequestText]*list.Element), order: list.New(), limit: limit, life: life}
}

func (kept *keptAnswers) get(id yuccaid.RequestText) (*Answer, bool) {
	element, found := kept.byID[id]
	if !found {
		return nil, false
	}
	return element.Value.(keptAnswer).answer, true
}

func (kept *keptAnswers) add(now time.Time, answer *Answer) {
	kept.byID[answer.id] = kept.order.PushBack(keptAnswer{answer: answer, until: now.Add(kept.life)})
	kept.bytes += answer.size()
	for kept.bytes > kept.limit {
		kept.drop(kept.order.Front())
	}
}

func (kept *keptAnswers) expire(now time.Time) {
	for front := kept.order.Front(); front != nil && now.After(front.Value.(keptAnswer).until); front = kept.order.Front() {
		kept.drop(front)
	}
}

// undelivered counts answers whose outcome no caller has been told yet.
func (kept *keptAnswers) undelivered() int {
	count := 0
	for element := kept.order.Front(); element != nil; element = element.Next() {
		if !element.Value.(keptAnswer).answer.delivered() {
			count++
		}
	}
	return count
}

func (kept *keptAnswers) drop(element *list.Element) {
	answer := element.Value.(keptAnswer).answer
	kept.order.Remove(element)
	delete(kept.byID, answer.id)
	kept.bytes -= answer.size()
}
