package streams

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// routes keeps for how long each route of streams has led to its service.
type routes struct {
	mu     sync.Mutex
	byName map[string]*routeService
	// firstAt is when the first configuration was applied, 0 before, and told the digest that was told before that.
	firstAt clock.Millis
	told    uint64
	// always says that no stream can have begun before this entry's start, as it is the only entry, and first that none has
	// begun before the first configuration.
	always, first bool
}

// routeService is the service that a route leads to.
type routeService struct {
	service ids.Service // empty if there are several
	since   clock.Millis
	// settled says that an entry that knew has told that the route has led there for settledAfter, and recorded that the
	// record of the service says so.
	settled, recorded bool
}

func newRoutes() *routes { return &routes{byName: make(map[string]*routeService)} }

// set applies the routes of a configuration, and reports whether it is the first. A new route counts as one that has
// changed, as its requests may have come on another one before.
func (r *routes) set(now clock.Millis, list []*routing.Route) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = r.firstAt == 0
	if first {
		r.firstAt = now
	}
	next := make(map[string]*routeService, len(list))
	for _, route := range list {
		var only ids.Service
		if len(route.Split) == 1 {
			only = route.Split[0].Service
		}
		known := r.byName[route.Name]
		if known == nil || known.service != only {
			known = &routeService{service: only, since: now, settled: first && (r.always || r.first)}
		}
		next[route.Name] = known
	}
	r.byName = next
	if first {
		r.settleIfEqual(r.told)
	}
	return first
}

// known reports whether a configuration has been applied.
func (r *routes) known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstAt > 0
}

// unsettledFromStart reports whether a route of the first configuration is not known to have led to its service long
// before.
func (r *routes) unsettledFromStart(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, route := range r.byName {
		if route.service != "" && route.since == r.firstAt && !route.isSettled(now) {
			return true
		}
	}
	return false
}

// isSettled reports whether a route has led to a service alone since the first stream began that may still be taken up
// again.
func (r *routes) isSettled(now clock.Millis, name string, service ids.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	route := r.byName[name]
	if route == nil {
		return r.always
	}
	return route.service == service && route.isSettled(now)
}

// isSettled reports whether a route has led to its only service for long enough.
func (s *routeService) isSettled(now clock.Millis) bool {
	return s.service != "" && (s.settled || s.recorded || now-s.since >= settledAfter)
}

// settle records that an entry has told that a route has led to a service for settledAfter.
func (r *routes) settle(name string, service ids.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if route := r.byName[name]; route != nil && route.service == service {
		route.settled = true
	}
}

// setRecorded records the routes that the record of a service has: all that lead there are settled, and no others by it.
func (r *routes) setRecorded(service ids.Service, list []ids.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, route := range r.byName {
		if route.service == service {
			route.recorded = contains(list, ids.Route(name))
		}
	}
}

// digest returns a hash of all settled routes with their services.
func (r *routes) digest(now clock.Millis) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hash(func(s *routeService) bool { return s.isSettled(now) })
}

// settleAll records all routes as settled if the digest that an entry has told is that of these routes.
func (r *routes) settleAll(told uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstAt == 0 {
		r.told = told
		return
	}
	r.settleIfEqual(told)
}

// settleIfEqual is settleAll for a caller that holds the lock.
func (r *routes) settleIfEqual(told uint64) {
	if told != r.hash(func(s *routeService) bool { return s.service != "" }) {
		return
	}
	for _, route := range r.byName {
		route.settled = route.service != ""
	}
}

// startFirst records the routes of the first configuration as settled that lead to one service: no stream began before.
func (r *routes) startFirst() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = true
	for _, route := range r.byName {
		if route.since == r.firstAt {
			route.settled = route.service != ""
		}
	}
}

// settledAt returns the routes that have led to a service alone for long enough, in order.
func (r *routes) settledAt(now clock.Millis, service ids.Service) []ids.Route {
	return r.those(func(s *routeService) bool { return s.service == service && s.isSettled(now) })
}

// unmoved returns the routes that lead to a service alone and, since the first configuration, have led nowhere else that
// streams may still be taken up from, in order.
func (r *routes) unmoved(now clock.Millis, service ids.Service) []ids.Route {
	return r.those(func(s *routeService) bool { return s.service == service && (s.since == r.firstAt || s.isSettled(now)) })
}

// leadingTo returns the routes that lead to a service alone, in order.
func (r *routes) leadingTo(service ids.Service) []ids.Route {
	return r.those(func(s *routeService) bool { return s.service == service })
}

// those returns the routes for which a condition holds, in order.
func (r *routes) those(hold func(*routeService) bool) []ids.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []ids.Route
	for name, route := range r.byName {
		if hold(route) {
			list = append(list, ids.Route(name))
		}
	}
	slices.Sort(list)
	return list
}

// hash returns a hash of the routes for which a condition holds. The lock is held.
func (r *routes) hash(holds func(*routeService) bool) uint64 {
	digest := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(r.byName)) {
		if route := r.byName[name]; holds(route) {
			_, _ = digest.WriteString(name + "\x00" + string(route.service) + "\x00") // never fails
		}
	}
	return digest.Sum64()
}
