// Package routing holds what operators declare for requests that pass through
// an entry unchanged: routes, the services behind them, client accounts and
// their keys; and the directory of targets. It does no I/O.
package routing

import (
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Kind says how often a route's requests may run and how their answers arrive.
type Kind int

//go:generate stringer -type=Kind -output=kind_string.go

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events; they run at most once
	// unless the route is resumable.
	Stream
)

// WeightedService is one service that a fraction of a route's requests goes to, by weight.
type WeightedService struct {
	Service ids.Service
	Weight  int
}

// Route says how requests with a host and a path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that an entry holds a request.
	Timeout clock.Millis
	// Objective is the time to the answer, or to its first event, within which
	// the request counts as fully in time.
	Objective clock.Millis
	// EventGap is the longest pause between two events for which a stream counts as in time; 0 if
	// there is no such objective.
	EventGap clock.Millis
	Tier     ids.TierRank
	// Split holds the services that requests go to. Without one that has a weight the route leads nowhere.
	Split []WeightedService
	// Attempts is how many targets one request may be sent to, one after the other.
	Attempts int
	// Anonymous is set if requests need no key, even though there are client accounts.
	Anonymous bool
	// Resumable is set if a stream may go on at another target after its first one was lost.
	Resumable bool
}

// Idempotent reports whether a request may be sent to a second target after
// the first may have run it.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a random number from [0, 1), by the weights of the split. It is empty if no service
// has a weight.
func (r *Route) PickService(draw float64) ids.Service {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	var picked ids.Service
	left := draw * float64(total)
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		picked = s.Service
		left -= float64(s.Weight)
		if left < 0 {
			break
		}
	}
	return picked // the last one if rounding has left a rest
}

// hasService reports whether a service of the split has a weight.
func (r *Route) hasService() bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Weight > 0 })
}

// LeadsTo reports whether the route may send requests to a service.
func (r *Route) LeadsTo(service ids.Service) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
