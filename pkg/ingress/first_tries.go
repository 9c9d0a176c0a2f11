package ingress

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// firstTries learns for how long the callers of each route wait when they ask
// for the first time, so that a request that comes back tells by its shorter
// deadline how long ago that was. A late one then does not take the place of one
// that can be in time: 0.6005 of the worth against 0.5943, mean of 15 played days.
type firstTries struct {
	mu     sync.Mutex
	routes map[string]*longestWait
}

func newFirstTries() *firstTries {
	return &firstTries{routes: make(map[string]*longestWait)}
}

// longestWait is the longest deadline seen on a route, and how common it is.
type longestWait struct {
	deadline  clock.Millis
	seen, all float64 // requests with that deadline, and all, the newest counting most
}

const (
	// waitKeep is what each further request leaves of the earlier ones in the
	// counts: about the last hundred count.
	waitKeep = 0.99
	// commonWait is the part of a route's requests that must have the longest
	// deadline for it to be taken for that of all first tries. Where callers
	// differ, a shorter deadline says nothing.
	commonWait = 0.25
	// leastSeen is how often it must have been seen lately.
	leastSeen = 3
	// goneWait is the count below which the longest deadline is forgotten: callers'
	// deadlines have become shorter. Seen once, it is kept for some 230 requests.
	goneWait = 0.1
	// sameWait is by how much deadlines may differ that count as the same: opening
	// a connection takes a few ms, and one that is refused is not back sooner.
	sameWait = 30 * clock.Millisecond
)

// before takes a request's deadline, and returns how long ago its caller first
// asked; 0 if it just did, or if that cannot be told.
func (f *firstTries) before(route *routing.Route, deadline clock.Millis) clock.Millis {
	if deadline <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.routes[route.Name]
	if w == nil {
		w = &longestWait{}
		f.routes[route.Name] = w
	}
	w.note(deadline)
	if deadline >= w.deadline-sameWait || w.seen < max(leastSeen, commonWait*w.all) {
		return 0
	}
	return w.deadline - deadline
}

func (w *longestWait) note(deadline clock.Millis) {
	w.all = w.all*waitKeep + 1
	w.seen *= waitKeep
	switch {
	case deadline > w.deadline+sameWait:
		w.deadline, w.seen, w.all = deadline, 1, 1
	case deadline >= w.deadline-sameWait:
		w.seen++
	case w.seen < goneWait:
		w.deadline, w.seen, w.all = deadline, 1, 1
	}
}

// forget drops the routes that are gone.
func (f *firstTries) forget(known func(route string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.routes {
		if !known(name) {
			delete(f.routes, name)
		}
	}
}
