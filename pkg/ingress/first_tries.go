package ingress

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// firstTries learns the deadline of first tries on each route, so that the shorter deadline of a request that comes
// back shows how long ago its first try was. A late request then does not take the slot of one that can be in time.
type firstTries struct {
	mu     sync.Mutex                  // guards routes and what they point to
	routes map[string]*longestDeadline // by name
}

func newFirstTries() *firstTries {
	return &firstTries{routes: make(map[string]*longestDeadline)}
}

// longestDeadline is the longest deadline seen on a route, and how common it is. Deadlines are durations here: how long
// callers say that they wait.
type longestDeadline struct {
	deadline    clock.Millis
	seen, total float64 // decayed counts of requests with that deadline, and of all requests
}

const (
	// countDecay is the factor by which each further request reduces the counts: about the last hundred requests count.
	countDecay = 0.99
	// minCommonFraction is the minimum fraction of a route's requests with the longest deadline for that to count as the
	// deadline of all first tries. Where callers differ, a shorter deadline says nothing.
	minCommonFraction = 0.25
	// minSeen is the minimum decayed count of requests with the longest deadline for the same.
	minSeen = 3
	// minWeight is the decayed count below which the longest deadline is dropped, as callers' deadlines have become
	// shorter. A deadline that was seen once is kept for some 230 requests.
	minWeight = 0.1
	// deadlineTolerance is the difference up to which deadlines count as equal: opening a connection takes a few ms, and a
	// refused caller does not come back sooner.
	deadlineTolerance = 30 * clock.Millisecond
)

// sinceFirstTry records a request's deadline, and returns how long ago its caller's first try was: 0 if this is the
// first try, or if that is not known.
func (f *firstTries) sinceFirstTry(route *routing.Route, deadline clock.Millis) clock.Millis {
	if deadline <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.routes[route.Name]
	if w == nil {
		w = &longestDeadline{}
		f.routes[route.Name] = w
	}
	w.record(deadline)
	if deadline >= w.deadline-deadlineTolerance || w.seen < max(minSeen, minCommonFraction*w.total) {
		return 0
	}
	return w.deadline - deadline
}

// record counts a request with a deadline. The deadline replaces the longest one if it is longer, or if the longest one
// has become rare, and the counts then begin anew. The caller holds the lock of firstTries.
func (d *longestDeadline) record(deadline clock.Millis) {
	d.total = d.total*countDecay + 1
	d.seen *= countDecay
	switch {
	case deadline > d.deadline+deadlineTolerance:
		d.deadline, d.seen, d.total = deadline, 1, 1
	case deadline >= d.deadline-deadlineTolerance:
		d.seen++
	case d.seen < minWeight:
		d.deadline, d.seen, d.total = deadline, 1, 1
	}
}

// retain drops the routes that are not known any more.
func (f *firstTries) retain(known func(route string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.routes {
		if !known(name) {
			delete(f.routes, name)
		}
	}
}
