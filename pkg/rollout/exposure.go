package rollout

import (
	"sync"

	"quaydock/pkg/ids"
)

// Exposure bounds what one entry sends to versions on trial, so that the sum over all
// entries holds without any of them knowing of the others: each sends a part of its own
// requests, counted from the order on. An entry that begins anew counts from zero, of both
// what it sends and of what it sends it in proportion to, so that nothing is given out twice. Of the
// slack only half is given out, a few requests an entry, and only to entries that knew that
// there was no order before it came.
type Exposure struct {
	mu       sync.Mutex
	services map[ids.Service]*exposed
}

// exposed is the account of one service.
type exposed struct {
	order Order
	// reached counts this entry's requests that reached the service since the order, sent
	// and asked those that were sent to the version on trial and that may be.
	reached, sent, asked int
	credit               int
}

// exposedPart of the bound is used: requests that had reached the service by an entry's
// count may not have by another's.
const exposedPart = 0.9

// slackPart of the bound's slack is given out. The rest is for entries that take one another
// for gone, and each itself for one of the few that get a part.
const slackPart = 0.5

// NewExposure returns an account that has sent nothing.
func NewExposure() *Exposure {
	return &Exposure{services: make(map[ids.Service]*exposed)}
}

// mostCredit bounds what one entry gets of the slack: it may take itself for one of a few
// while it hears nobody.
const mostCredit = 5

// Credit is how many requests an entry may send beyond its part, being the nth of so many by
// some order that all agree on.
func SlackCredit(b Bounds, nth, entries int) int {
	given := int(slackPart * b.Slack)
	if nth >= given {
		return 0
	}
	return min(mostCredit, max(1, given/max(1, entries)))
}

// Begin starts the account of an order, unless it has begun.
func (e *Exposure) Begin(o Order, credit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[o.Service]; x == nil || x.order.Placed != o.Placed {
		e.services[o.Service] = &exposed{order: o, credit: credit}
	}
}

// End closes the account of a service.
func (e *Exposure) End(service ids.Service) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.services, service)
}

// Ask reports whether one more request may go to the version on trial, and sets it aside.
// Each is followed by Give or Send.
func (e *Exposure) Reserve(service ids.Service, b Bounds) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.services[service]
	if x == nil || float64(x.sent+x.asked+1) > exposedPart*b.Fraction*float64(x.reached)+float64(x.credit) {
		return false
	}
	x.asked++
	return true
}

// Give takes back what Ask has set aside.
func (e *Exposure) Release(service ids.Service) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[service]; x != nil && x.asked > 0 {
		x.asked--
	}
}

// Send turns what Ask has set aside into a request that is sent to a version; it reports
// whether that is still the one on trial.
func (e *Exposure) Commit(service ids.Service, version ids.Version) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.services[service]
	if x == nil || x.order.Version != version || x.asked == 0 {
		return false
	}
	x.asked--
	x.sent++
	return true
}

// Placed is the order during which a request is sent to a service, or 0.
func (e *Exposure) Placed(service ids.Service) Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[service]; x != nil {
		return x.order.Placed
	}
	return 0
}

// Reached counts a request that has reached a service, and was sent during an order.
func (e *Exposure) Reached(service ids.Service, placed Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[service]; x != nil && placed > 0 && x.order.Placed == placed {
		x.reached++
	}
}

// Counts returns how many requests have reached a service since its order, and how many
// were sent to the version on trial.
func (e *Exposure) Counts(service ids.Service) (reached, sent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.services[service]; x != nil {
		return x.reached, x.sent
	}
	return 0, 0
}
