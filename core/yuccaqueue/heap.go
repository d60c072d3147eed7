package yuccaqueue

// heap is a binary heap. Each element stores its own position, so that it can be
// removed or moved in logarithmic time. Positions count from one; zero means that the
// element is not in the heap.
type heap[T any] struct {
	list     []T
	less     func(a, b T) bool
	position func(T) *int
}

func (hp *heap[T]) len() int {
	return len(hp.list)
}

func (hp *heap[T]) top() T {
	return hp.list[0]
}

func (hp *heap[T]) push(elem T) {
	hp.list = append(hp.list, elem)
	*hp.position(elem) = len(hp.list)
	hp.up(len(hp.list) - 1)
}

// remove removes an element; it does nothing if the element is not in the heap.
func (hp *heap[T]) remove(elem T) {
	pos := *hp.position(elem) - 1
	if pos < 0 {
		return
	}
	last := len(hp.list) - 1
	hp.swap(pos, last)
	var zero T
	hp.list[last] = zero
	hp.list = hp.list[:last]
	*hp.position(elem) = 0
	if pos < last {
		hp.sift(pos)
	}
}

// fix restores the order after a change of the values by which less compares the element.
// If the element is not in the heap, fix adds it.
func (hp *heap[T]) fix(elem T) {
	pos := *hp.position(elem) - 1
	if pos < 0 {
		hp.push(elem)
		return
	}
	hp.sift(pos)
}

func (hp *heap[T]) sift(pos int) {
	if !hp.down(pos) {
		hp.up(pos)
	}
}

func (hp *heap[T]) up(pos int) {
	for pos > 0 {
		parent := (pos - 1) / 2
		if !hp.less(hp.list[pos], hp.list[parent]) {
			return
		}
		hp.swap(pos, parent)
		pos = parent
	}
}

func (hp *heap[T]) down(pos int) bool {
	moved := false
	for {
		child := 2*pos + 1
		if child >= len(hp.list) {
			return moved
		}
		if right := child + 1; right < len(hp.list) && hp.less(hp.list[right], hp.list[child]) {
			child = right
		}
		if !hp.less(hp.list[child], hp.list[pos]) {
			return moved
		}
		hp.swap(pos, child)
		pos = child
		moved = true
	}
}

func (hp *heap[T]) swap(a, b int) {
	hp.list[a], hp.list[b] = hp.list[b], hp.list[a]
	*hp.position(hp.list[a]) = a + 1
	*hp.position(hp.list[b]) = b + 1
}
