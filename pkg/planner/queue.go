package planner

import (
	"math"
	"slices"

	"quaydock/pkg/clock"
)

// waiting is a job in the queue.
type waiting struct {
	Job
	// useful is the last moment at which it could be granted and still be in
	// time.
	useful    clock.Millis
	size      runSize
	committed bool         // it is not refused any more
	seen      clock.Millis // when its entry last asked for it
}

// queue holds the jobs that wait. It is short: what cannot be in time is
// refused soon after it came.
type queue struct {
	jobs []*waiting
}

func (q *queue) find(id JobID) int {
	return slices.IndexFunc(q.jobs, func(w *waiting) bool { return w.ID == id })
}

func (q *queue) remove(i int) {
	q.jobs = slices.Delete(q.jobs, i, i+1)
}

// sort puts the jobs in the order in which they are served: by tier; in a tier
// first those that can still be in time by their callers' first try, then the
// late ones, the shortest runs first in both, and the most urgent of equal ones.
func (q *queue) sort(now clock.Millis) {
	slices.SortStableFunc(q.jobs, func(a, b *waiting) int { return order(now, a, b) })
}

func order(now clock.Millis, a, b *waiting) int {
	switch {
	case a.Tier != b.Tier:
		return int(a.Tier - b.Tier)
	case a.late(now) != b.late(now):
		return either(b.late(now))
	case a.size != b.size:
		return int(a.size - b.size)
	default:
		return int(a.useful - b.useful)
	}
}

// either orders the one for which a property holds first.
func either(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (w *waiting) late(now clock.Millis) bool {
	return now > w.useful
}

// ahead counts the jobs that go before one: of equal ones those that came first.
func (q *queue) ahead(now clock.Millis, self *waiting) int {
	n, first := 0, true
	for _, w := range q.jobs {
		if w == self {
			first = false
			continue
		}
		if by := order(now, w, self); by < 0 || by == 0 && first {
			n++
		}
	}
	return n
}

// runSize is how long a run is reckoned to take, in steps of a factor of two.
type runSize int

// runSizes is how many sizes there are; the largest takes minutes.
const runSizes = 20

// sizeOf returns the size of a run of so many ms.
func sizeOf(ms float64) runSize {
	return runSize(min(runSizes-1, max(0, math.Ilogb(max(1, ms)))))
}

// drop takes out the jobs for which gone is true.
func (q *queue) drop(gone func(*waiting) bool) {
	q.jobs = slices.DeleteFunc(q.jobs, gone)
}
