package gate

// element is what an indexedHeap holds: it has an order, and knows its place,
// so that it can be taken out from anywhere.
type element[T any] interface {
	before(T) bool
	setIndex(int)
}

// indexedHeap is a heap for container/heap, the first by order at its top.
type indexedHeap[T element[T]] []T

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

// Push adds an element; it is called by container/heap.
func (h *indexedHeap[T]) Push(x any) {
	added := x.(T)
	added.setIndex(len(*h))
	*h = append(*h, added)
}

// Pop takes the last element; it is called by container/heap.
func (h *indexedHeap[T]) Pop() any {
	last := len(*h) - 1
	taken := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	return taken
}

// before puts the earliest deadline first; of equal ones, the first to arrive.
func (w *waiting) before(other *waiting) bool {
	if w.deadline != other.deadline {
		return w.deadline < other.deadline
	}
	return w.arrival < other.arrival
}

func (w *waiting) setIndex(i int) { w.index = i }

// before puts the least served account first; names decide a tie, so that the
// same tickets always give the same order.
func (l *lane) before(other *lane) bool {
	if l.service != other.service {
		return l.service < other.service
	}
	return l.account < other.account
}

func (l *lane) setIndex(i int) { l.index = i }
