package streams

import (
	"sync"

	"quaydock/pkg/clock"
)

const (
	// retention is for how long an origin is kept at least, as long as there are not maxOrigins of them.
	retention = 2 * clock.Minute
	// generationLength is the time within which the origins of one generation were added.
	generationLength = 15 * clock.Second
	// maxOrigins limits the origins that are kept in one set; the oldest generation gives way.
	maxOrigins = 1 << 16
)

// originSet keeps the origins of streams by key, in generations by the time at which they were added.
type originSet struct {
	mu          sync.Mutex
	generations []generation // the newest last
	count       int          // of origins in all generations
}

// generation is the origins that were added within generationLength.
type generation struct {
	began   clock.Millis
	origins map[Key]*Origin
	shared  map[Origin]*Origin // one copy of each origin, as all streams of a target have the same
}

// add keeps the origin of a stream, in place of an earlier one.
func (r *originSet) add(now clock.Millis, key Key, origin Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	if n := len(r.generations); n == 0 || now-r.generations[n-1].began >= generationLength || len(r.generations[n-1].origins) >= maxOrigins/2 {
		r.generations = append(r.generations, generation{began: now, origins: make(map[Key]*Origin), shared: make(map[Origin]*Origin)})
	}
	g := &r.generations[len(r.generations)-1]
	kept := g.shared[origin]
	if kept == nil {
		kept = &origin
		g.shared[origin] = kept
	}
	r.count -= len(g.origins)
	g.origins[key] = kept
	r.count += len(g.origins)
}

// prune drops the generations that are too old, and the oldest ones while there are too many origins. The lock is held.
func (r *originSet) prune(now clock.Millis) {
	for len(r.generations) > 0 && (now-r.generations[0].began > retention+generationLength || r.count >= maxOrigins) {
		r.count -= len(r.generations[0].origins)
		r.generations = r.generations[1:]
	}
}

// get returns the origin of a stream, or nil.
func (r *originSet) get(key Key) *Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.generations) - 1; i >= 0; i-- {
		if origin := r.generations[i].origins[key]; origin != nil {
			return origin
		}
	}
	return nil
}

// remove drops the origin of a stream.
func (r *originSet) remove(key Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.generations {
		r.count -= len(g.origins)
		delete(g.origins, key)
		r.count += len(g.origins)
	}
}

// newest returns up to a number of origins for which a condition holds, those of the newest generations first.
func (r *originSet) newest(most int, holds func(Key, *Origin) bool) []keyedOrigin {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []keyedOrigin
	for i := len(r.generations) - 1; i >= 0; i-- {
		for key, origin := range r.generations[i].origins {
			if len(list) == most {
				return list
			}
			if holds(key, origin) {
				list = append(list, keyedOrigin{key, *origin})
			}
		}
	}
	return list
}

// len returns the number of origins.
func (r *originSet) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}
