package rollout

import (
	"sync"

	"quaydock/pkg/ids"
)

// Exposure limits what one entry sends to canaries such that the limit on the sum over all entries holds without
// coordination: each entry sends a fraction of its own requests, counted from the order on, that is, the operators'
// order to move a service to a version. An entry that restarts counts from zero, both the requests it sends to the
// canary and those they are in proportion to, so nothing is spent twice. Bounds.Slack allows some requests beyond the
// fraction, in total. Only half of it is handed out, a few requests for each entry, and only to entries that observed
// the order from its start. The other half covers entries that take one another for gone, each of which then counts
// itself among the few that get a share.
type Exposure struct {
	mu       sync.Mutex
	services map[ids.Service]*serviceExposure
}

// serviceExposure counts the requests of one service.
type serviceExposure struct {
	order Order
	// reached counts this entry's requests that reached the service since the order, sent those sent to the canary,
	// and reserved those that may still be sent to it.
	reached, sent, reserved int
	// credit is the number of requests, from the slack, that this entry may send beyond its fraction.
	credit int
}

// usedLimitFraction is the fraction of Bounds.Fraction that is used: requests that had reached the service by one
// entry's count may not have by another's.
const usedLimitFraction = 0.9

// usedSlackFraction is the fraction of Bounds.Slack that is handed out. The rest covers entries that take one another
// for gone, each of which then counts itself among the few that get a share.
const usedSlackFraction = 0.5

// NewExposure returns an Exposure without counts.
func NewExposure() *Exposure {
	return &Exposure{services: make(map[ids.Service]*serviceExposure)}
}

// maxCredit limits the requests from the slack that one entry may send: while it hears from no other entry, it may
// count itself among a few.
const maxCredit = 5

// SlackCredit returns how many requests an entry may send beyond its fraction. The entry is the nth of entries, counted
// from 0, in an order on which all agree.
func SlackCredit(b Bounds, nth, entries int) int {
	given := int(usedSlackFraction * b.Slack)
	if nth >= given {
		return 0
	}
	return min(maxCredit, max(1, given/max(1, entries)))
}

// Begin starts counting for an order from zero, unless the order is being counted already. credit is what SlackCredit
// returned for it, or 0.
func (e *Exposure) Begin(o Order, credit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[o.Service]; x == nil || x.order.Placed != o.Placed {
		e.services[o.Service] = &serviceExposure{order: o, credit: credit}
	}
}

// End stops counting for a service; nothing more can be reserved for it until the next Begin.
func (e *Exposure) End(service ids.Service) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.services, service)
}

// Reserve reports whether one more request may go to the canary, and reserves it. It returns false if the entry's limit
// is reached or no order is counted. Each reservation is followed by Release or Commit.
func (e *Exposure) Reserve(service ids.Service, b Bounds) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.services[service]
	if x == nil || float64(x.sent+x.reserved+1) > usedLimitFraction*b.Fraction*float64(x.reached)+float64(x.credit) {
		return false
	}
	x.reserved++
	return true
}

// Release cancels a reservation. If there is none, or the service is no longer counted, it does nothing.
func (e *Exposure) Release(service ids.Service) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[service]; x != nil && x.reserved > 0 {
		x.reserved--
	}
}

// Commit turns a reservation into a request that is sent to a version. If that version is no longer the canary, it
// returns false, and the reservation stays until the caller releases it.
func (e *Exposure) Commit(service ids.Service, version ids.Version) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.services[service]
	if x == nil || x.order.Version != version || x.reserved == 0 {
		return false
	}
	x.reserved--
	x.sent++
	return true
}

// CurrentOrder returns the revision of the order that is counted for a service, 0 if there is none.
func (e *Exposure) CurrentOrder(service ids.Service) Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[service]; x != nil {
		return x.order.Placed
	}
	return 0
}

// CountReached counts a request that has reached the service. placed is the revision of the order in force when it was
// sent: if that is not the one counted now, the request is ignored.
func (e *Exposure) CountReached(service ids.Service, placed Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[service]; x != nil && placed > 0 && x.order.Placed == placed {
		x.reached++
	}
}

// Counts returns how many requests have reached a service since its order, and how many were sent to the canary.
func (e *Exposure) Counts(service ids.Service) (reached, sent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[service]; x != nil {
		return x.reached, x.sent
	}
	return 0, 0
}
