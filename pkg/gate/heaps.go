package gate

// element is an item of an indexedHeap: it has an order, and knows its index,
// so that it can be removed from anywhere.
type element[T any] interface {
	before(T) bool
	setIndex(int) // called on each move within the heap
}

// indexedHeap is a heap for container/heap with the first element by order at its top.
type indexedHeap[T element[T]] []T

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

// Push appends an element; it is called by container/heap.
func (h *indexedHeap[T]) Push(x any) {
	added := x.(T)
	added.setIndex(len(*h))
	*h = append(*h, added)
}

// Pop removes the last element; it is called by container/heap.
func (h *indexedHeap[T]) Pop() any {
	last := len(*h) - 1
	taken := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	return taken
}

// before orders tickets by deadline, and by arrival if deadlines are equal.
func (w *queuedTicket) before(other *queuedTicket) bool {
	if w.deadline != other.deadline {
		return w.deadline < other.deadline
	}
	return w.arrival < other.arrival
}

func (w *queuedTicket) setIndex(i int) { w.index = i }

// before orders accounts by work served, the least first; names break ties, so that the
// same tickets always give the same order.
func (l *accountQueue) before(other *accountQueue) bool {
	if l.share.Served() != other.share.Served() {
		return l.share.Served() < other.share.Served()
	}
	return l.share.Name < other.share.Name
}

func (l *accountQueue) setIndex(i int) { l.index = i }
