// Package domains keeps which failure domains operators have drained: their targets get no new
// requests until the domain is restored.
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

// Filter marks the targets of drained failure domains in the directory, again whenever the directory
// or the set of drained domains changes. It is safe for concurrent use.
type Filter struct {
	common.Common
	onChange func(*routing.Directory)

	mu      sync.Mutex
	listed  []*routing.Target          // as listed; nil before the first directory
	drained map[ids.FailureDomain]bool // has no entry for a domain that is not drained
	// restoredAt is when this entry last read that a domain was restored.
	restoredAt map[ids.FailureDomain]clock.Millis
}

// NewFilter returns a filter without targets. It calls onChange, with its lock held, with each new directory.
func NewFilter(c common.Common, onChange func(*routing.Directory)) *Filter {
	f := &Filter{Common: c, onChange: onChange, drained: make(map[ids.FailureDomain]bool), restoredAt: make(map[ids.FailureDomain]clock.Millis)}
	c.Metrics.Prometheus.Gauge("failure_domains_drained", func() float64 { return float64(len(f.Drained())) })
	return f
}

// SetDirectory takes a new version of the directory.
func (f *Filter) SetDirectory(d *routing.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = d.All()
	f.publish()
}

// DrainOrder is an operators' order for a failure domain: to drain it, or to restore it.
type DrainOrder struct {
	Domain  ids.FailureDomain
	Drained bool
}

// Replace takes all orders in force; domains without one are restored.
func (f *Filter) Replace(inForce []DrainOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hasOrder := make(map[ids.FailureDomain]bool, len(inForce))
	for _, o := range inForce {
		hasOrder[o.Domain] = true
	}
	orders := slices.Clone(inForce)
	for domain := range f.drained {
		if !hasOrder[domain] {
			orders = append(orders, DrainOrder{Domain: domain})
		}
	}
	f.apply(orders)
}

// Change applies new orders in sequence.
func (f *Filter) Change(orders []DrainOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(orders)
}

// apply applies orders, and publishes the directory if any of them changes something; the caller holds the lock.
func (f *Filter) apply(orders []DrainOrder) {
	changed := false
	for _, o := range orders {
		if f.drained[o.Domain] == o.Drained {
			continue
		}
		changed = true
		if o.Drained {
			f.drained[o.Domain] = true
			f.log(o.Domain).Info("failure domain drained: its targets get no new requests")
			continue
		}
		delete(f.drained, o.Domain)
		f.restoredAt[o.Domain] = f.Clock.Now()
		f.log(o.Domain).Info("failure domain restored: its targets get new requests again")
	}
	if changed && f.listed != nil {
		f.publish()
	}
}

// log returns a log entry for a domain, with the number of its targets. The caller holds the lock.
func (f *Filter) log(domain ids.FailureDomain) *logrus.Entry {
	targets := 0
	for _, t := range f.listed {
		if t.Domain == domain {
			targets++
		}
	}
	return f.Log.WithField("domain", string(domain)).WithField("targets", targets)
}

// publish passes on the directory with its marks. The caller holds the lock, so that an older directory never follows a
// newer one.
func (f *Filter) publish() {
	list := make([]*routing.Target, 0, len(f.listed))
	for _, t := range f.listed {
		if drained, restored := f.drained[t.Domain], f.restoredAt[t.Domain]; drained || restored > 0 {
			copied := *t
			copied.Drained, copied.RestoredAt = drained, restored
			t = &copied
		}
		list = append(list, t)
	}
	f.onChange(routing.NewDirectory(list))
}

// Drained lists the drained failure domains, in no particular order.
func (f *Filter) Drained() []ids.FailureDomain {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []ids.FailureDomain
	for domain := range f.drained {
		list = append(list, domain)
	}
	return list
}
