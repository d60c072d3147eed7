package yuccadaemon

import (
	"container/list"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// keptBytes bounds the whole answers that are kept for a second fetch. A quarter of
	// the 256 MB that a daemon may use leaves room for open requests and streams.
	keptBytes = yuccaid.Bytes(64 << 20)
	// keptFor is long enough for a caller whose connection broke to come back.
	keptFor = 2 * time.Minute
)

// keptAnswers holds whole answers, oldest first out.
type keptAnswers struct {
	byID  map[yuccaid.RequestText]*list.Element
	order *list.List
	bytes yuccaid.Bytes
}

type keptAnswer struct {
	answer *Answer
	until  time.Time
}

func newKeptAnswers() *keptAnswers {
	return &keptAnswers{byID: make(map[yuccaid.RequestText]*list.Element), order: list.New()}
}

func (kept *keptAnswers) get(id yuccaid.RequestText) (*Answer, bool) {
	element, found := kept.byID[id]
	if !found {
		return nil, false
	}
	return element.Value.(keptAnswer).answer, true
}

func (kept *keptAnswers) add(now time.Time, answer *Answer) {
	kept.byID[answer.id] = kept.order.PushBack(keptAnswer{answer: answer, until: now.Add(keptFor)})
	kept.bytes += answer.size()
	for kept.bytes > keptBytes {
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
