package quota

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// RetryBounds limit the retries at a service in a window, over all entries:
// Ratio is their fraction of the requests for it, and Slack a number of retries on top.
type RetryBounds struct {
	Ratio  float64
	Slack  float64
	Window clock.Millis
}

// usableFraction is the fraction of the bounds in use, that is, of both Ratio and Slack of RetryBounds: retries are
// counted at the target, where one window may contain what entries sent in two of theirs.
const usableFraction = 0.7

// windowSteps is the number of steps into which a RetryBudget divides the window of its bounds.
const windowSteps = 10

// RetryBudget counts requests and retries by service. Each entry may retry in proportion to its own requests, so that
// the sum over all entries stays within the bounds without coordination; of the slack each has its share.
type RetryBudget struct {
	bounds    RetryBounds  // guarded by mu
	startedAt clock.Millis // when the entry started

	mu       sync.Mutex
	services map[ids.Service]*tally
}

// tally counts the requests and retries of one service.
type tally struct{ requests, retries steps }

func newTally() *tally {
	return &tally{
		requests: steps{amounts: make([]float64, windowSteps), placing: atStart},
		retries:  steps{amounts: make([]float64, windowSteps), placing: atEnd},
	}
}

// NewRetryBudget returns the budget of an entry that starts now.
func NewRetryBudget(bounds RetryBounds, now clock.Millis) *RetryBudget {
	return &RetryBudget{bounds: bounds, startedAt: now, services: make(map[ids.Service]*tally)}
}

// SetBounds changes the bounds; what has been counted stays.
func (b *RetryBudget) SetBounds(bounds RetryBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// CountRequest counts a caller's request for a service.
func (b *RetryBudget) CountRequest(now clock.Millis, service ids.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tallyAt(now, service).requests.addNow(1)
}

// TakeRetry reports whether a request may be sent to one more target of a service,
// and counts the retry if so. share is this entry's fraction of the slack, from 0 to 1.
func (b *RetryBudget) TakeRetry(now clock.Millis, service ids.Service, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tallyAt(now, service)
	allowed := usableFraction * (b.bounds.Ratio*t.requests.sum() + b.availableSlack(now)*share)
	if t.retries.sum()+1 > allowed {
		return false
	}
	t.retries.addNow(1)
	return true
}

// ReturnRetry takes back a retry that was counted at the given time and reached no target. It does nothing once that
// time is outside the window.
func (b *RetryBudget) ReturnRetry(counted clock.Millis, service ids.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.services[service]
	if t == nil {
		return
	}
	if retries := t.retries.at(counted); retries != nil && *retries > 0 {
		*retries--
	}
}

// availableSlack is the number of retries on top of the ratio, of all entries together. It is 0 until a window has
// passed since this entry started: the retries of its previous process are not known, and may have been the whole
// slack. At ten requests a second, two processes in a window made 86 retries where 72 were allowed, and three made 123.
// The lock is held.
func (b *RetryBudget) availableSlack(now clock.Millis) float64 {
	if now-b.startedAt < b.bounds.Window {
		return 0
	}
	return b.bounds.Slack
}

// tallyAt returns a service's tally, brought up to now; the lock is held.
func (b *RetryBudget) tallyAt(now clock.Millis, service ids.Service) *tally {
	t := b.services[service]
	if t == nil {
		t = newTally()
		b.services[service] = t
	}
	length := max(1, b.bounds.Window/windowSteps)
	t.requests.advance(now, length)
	t.retries.advance(now, length)
	return t
}
