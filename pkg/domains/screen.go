// Package domains keeps which failure domains operators have drained: their targets get no new
// requests until the domain is given back.
package domains

import (
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Screen marks the targets of drained failure domains in the list of targets, anew whenever the list
// or what is drained changes.
type Filter struct {
	common.Common
	marked func(*routing.Directory)

	mu      sync.Mutex
	raw     []*routing.Target // nil before the first list
	drained map[ids.FailureDomain]bool
	// backAt is when this entry has read that a domain was given back, the last time.
	backAt map[ids.FailureDomain]clock.Millis
}

// NewScreen returns a screen without targets; marked is told of each new list.
func NewFilter(c common.Common, marked func(*routing.Directory)) *Filter {
	s := &Filter{Common: c, marked: marked, drained: make(map[ids.FailureDomain]bool), backAt: make(map[ids.FailureDomain]clock.Millis)}
	c.Metrics.Prometheus.Gauge("failure_domains_drained", func() float64 { return float64(len(s.Drained())) })
	return s
}

// SetDirectory takes a new list.
func (s *Filter) SetDirectory(d *routing.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw = d.All()
	s.mark()
}

// Order is what operators want of a failure domain: that it is drained, or given back.
type DrainOrder struct {
	Domain  ids.FailureDomain
	Drained bool
}

// Replace takes all orders that stand; domains without one are given back.
func (s *Filter) Replace(standing []DrainOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stands := make(map[ids.FailureDomain]bool, len(standing))
	for _, o := range standing {
		stands[o.Domain] = true
	}
	orders := slices.Clone(standing)
	for domain := range s.drained {
		if !stands[domain] {
			orders = append(orders, DrainOrder{Domain: domain})
		}
	}
	s.change(orders)
}

// Change takes orders in the order in which they were given.
func (s *Filter) Change(orders []DrainOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(orders)
}

// change marks the list if anything is new; the lock is held.
func (s *Filter) change(orders []DrainOrder) {
	isNew := false
	for _, o := range orders {
		if s.drained[o.Domain] == o.Drained {
			continue
		}
		isNew = true
		if o.Drained {
			s.drained[o.Domain] = true
			s.log(o.Domain).Info("failure domain drained: its targets get no new requests")
			continue
		}
		delete(s.drained, o.Domain)
		s.backAt[o.Domain] = s.Clock.Now()
		s.log(o.Domain).Info("failure domain given back")
	}
	if isNew && s.raw != nil {
		s.mark()
	}
}

// log is a line about a domain, with how many targets it concerns.
func (s *Filter) log(domain ids.FailureDomain) *logrus.Entry {
	targets := 0
	for _, t := range s.raw {
		if t.Domain == domain {
			targets++
		}
	}
	return s.Log.WithField("domain", string(domain)).WithField("targets", targets)
}

// mark passes the list on; the lock is held, so that an older list never follows a newer one.
func (s *Filter) mark() {
	list := make([]*routing.Target, 0, len(s.raw))
	for _, t := range s.raw {
		if drained, back := s.drained[t.Domain], s.backAt[t.Domain]; drained || back > 0 {
			marked := *t
			marked.Drained, marked.RestoredAt = drained, back
			t = &marked
		}
		list = append(list, t)
	}
	s.marked(routing.NewDirectory(list))
}

// Drained lists the failure domains that are drained, in no order.
func (s *Filter) Drained() []ids.FailureDomain {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []ids.FailureDomain
	for domain := range s.drained {
		list = append(list, domain)
	}
	return list
}
