package planner

import (
	"math"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/fairshare"
)

// queuedJob is a job in the queue.
type queuedJob struct {
	Job
	// latestStart is the last moment at which the job can be granted and still be in time.
	latestStart clock.Millis
	size        sizeClass
	// class is that of the job's account, by the last accountShares.refresh; Within if accounts share nothing.
	class fairshare.Class
	// committed is set if a refusal would come too late to be useful, or the job was refused once before: it is then
	// kept while maxWait allows it, even if its first event will be late.
	committed bool
	lastPoll  clock.Millis // time of its last Submit
}

// queue holds the waiting jobs. It is short, since jobs that cannot be in time are refused soon after they arrive.
type queue struct {
	jobs []*queuedJob
}

// find returns the index of a job, -1 if it does not wait.
func (q *queue) find(id JobID) int {
	return slices.IndexFunc(q.jobs, func(w *queuedJob) bool { return w.ID == id })
}

// remove removes the job at an index.
func (q *queue) remove(i int) {
	q.jobs = slices.Delete(q.jobs, i, i+1)
}

// sort orders the jobs as they are served: by tier; in a tier those of accounts within their share before the others; of
// both those that can still be in time by their callers' first attempt before the late ones; then by the class of their
// accounts; in a class the shortest runs first, and among equal ones the most urgent.
func (q *queue) sort(now clock.Millis) {
	slices.SortStableFunc(q.jobs, func(a, b *queuedJob) int { return compareJobs(now, a, b) })
}

// compareJobs returns a number below 0 if a is served before b, above 0 if after, and 0 if neither goes first.
func compareJobs(now clock.Millis, a, b *queuedJob) int {
	switch {
	case a.Tier != b.Tier:
		return int(a.Tier - b.Tier)
	case a.withinShare() != b.withinShare():
		return trueFirst(a.withinShare())
	case a.late(now) != b.late(now):
		return trueFirst(b.late(now))
	case a.class != b.class:
		return int(a.class - b.class)
	case a.size != b.size:
		return int(a.size - b.size)
	default:
		return int(a.latestStart - b.latestStart)
	}
}

// trueFirst orders the element for which a property holds before the other.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// withinShare reports whether the job's account asks for no more than its share.
func (w *queuedJob) withinShare() bool { return w.class == fairshare.Within }

// late reports whether it is too late for the job to be in time.
func (w *queuedJob) late(now clock.Millis) bool {
	return now > w.latestStart
}

// countAhead returns how many jobs that may get the same targets are served before self; of equal ones those that came
// first, or all if self is not in the queue any more.
func (q *queue) countAhead(now clock.Millis, self *queuedJob) int {
	n, first := 0, true
	for _, w := range q.jobs {
		if w == self {
			first = false
			continue
		}
		if c := compareJobs(now, w, self); w.competesWith(&self.Job) && (c < 0 || c == 0 && first) {
			n++
		}
	}
	return n
}

// sizeClass is the binary logarithm of a run's estimated duration in ms.
type sizeClass int

// sizeClasses is the number of size classes; the largest takes minutes.
const sizeClasses = 20

// sizeClassOf returns the size class of a duration in ms.
func sizeClassOf(ms float64) sizeClass {
	return sizeClass(min(sizeClasses-1, max(0, math.Ilogb(max(1, ms)))))
}

// removeIf removes the jobs for which gone returns true.
func (q *queue) removeIf(gone func(*queuedJob) bool) {
	q.jobs = slices.DeleteFunc(q.jobs, gone)
}
