// Package routing has what operators declare of the requests that pass through
// an entry unchanged: routes, the services behind them, client accounts and
// their keys. It does no I/O.
package routing

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Kind says how often a request may run and how its answer comes.
type Kind int

//go:generate stringer -type=Kind -output=kind_string.go

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may be repeated.
	Safe
	// Stream answers are a series of events; the request runs at most once
	// unless the route is resumable.
	Stream
)

// Share is one service that a route's requests go to, by weight.
type WeightedService struct {
	Service ids.Service
	Weight  int
}

// Route says how requests with a given host and path are served.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest that a request is held.
	Timeout clock.Millis
	// Objective is the time to the answer, or to its first event, within which
	// it earns its whole credit.
	Objective clock.Millis
	// EventGap is the longest pause between two events of a timely stream; 0 if
	// there is no aim.
	EventGap clock.Millis
	Tier     ids.TierRank
	Split    []WeightedService
	// Attempts is how many targets one request may be sent to.
	Attempts  int
	Anonymous bool
	Resumable bool
}

// Idempotent reports whether a request may be sent to a second target after
// the first may have run it.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a draw from [0, 1).
func (r *Route) Pick(draw float64) ids.Service {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Leads reports whether the route may send requests to a service.
func (r *Route) LeadsTo(service ids.Service) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
