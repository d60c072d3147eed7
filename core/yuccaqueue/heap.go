package yuccaqueue

// heap is a binary heap whose elements know their place in it, so that one can be
// taken out or moved in logarithmic time. A place of zero means not in the heap.
type heap[T any] struct {
	list  []T
	less  func(a, b T) bool
	place func(T) *int
}

func (hp *heap[T]) len() int {
	return len(hp.list)
}

func (hp *heap[T]) top() T {
	return hp.list[0]
}

func (hp *heap[T]) push(one T) {
	hp.list = append(hp.list, one)
	*hp.place(one) = len(hp.list)
	hp.up(len(hp.list) - 1)
}

// drop takes one out and does nothing when it isn't in.
func (hp *heap[T]) drop(one T) {
	at := *hp.place(one) - 1
	if at < 0 {
		return
	}
	last := len(hp.list) - 1
	hp.swap(at, last)
	var zero T
	hp.list[last] = zero
	hp.list = hp.list[:last]
	*hp.place(one) = 0
	if at < last {
		hp.settle(at)
	}
}

// fix puts one in its place after its key has changed, or adds it.
func (hp *heap[T]) fix(one T) {
	at := *hp.place(one) - 1
	if at < 0 {
		hp.push(one)
		return
	}
	hp.settle(at)
}

func (hp *heap[T]) settle(at int) {
	if !hp.down(at) {
		hp.up(at)
	}
}

func (hp *heap[T]) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !hp.less(hp.list[at], hp.list[parent]) {
			return
		}
		hp.swap(at, parent)
		at = parent
	}
}

func (hp *heap[T]) down(at int) bool {
	moved := false
	for {
		child := 2*at + 1
		if child >= len(hp.list) {
			return moved
		}
		if right := child + 1; right < len(hp.list) && hp.less(hp.list[right], hp.list[child]) {
			child = right
		}
		if !hp.less(hp.list[child], hp.list[at]) {
			return moved
		}
		hp.swap(at, child)
		at = child
		moved = true
	}
}

func (hp *heap[T]) swap(a, b int) {
	hp.list[a], hp.list[b] = hp.list[b], hp.list[a]
	*hp.place(hp.list[a]) = a + 1
	*hp.place(hp.list[b]) = b + 1
}
