package planner

import "quaydock/pkg/clock"

// Health decides whether a target is ejected, and for how long. It is not safe for concurrent use.
type Health struct {
	failures int          // weighted sum of the failures since the last request that was served
	until    clock.Millis // end of the ejection; 0 if there was none since then
}

const (
	// An ejection lasts minEjection at ejectAt, twice as long for each unit of weight beyond it, and at most
	// maxEjection.
	minEjection = 300 * clock.Millisecond
	maxEjection = 3 * clock.Second
	// failedWeight is less than unreachedWeight, since a request may fail for reasons of its own.
	failedWeight    = 1
	unreachedWeight = 3
	// ejectAt is the sum of weights from which a target is ejected, and maxFailures the largest sum that is kept: it
	// keeps the shift by which the duration doubles from overflowing.
	ejectAt     = 3
	maxFailures = 8
)

// Record records the outcome of a request. Abandoned, Withheld and Declined tell nothing of the target.
func (h *Health) Record(now clock.Millis, o Outcome) {
	switch o {
	case Served:
		h.failures = 0
		h.until = 0
		return
	case Failed, Full:
		// This also holds if the target asks for back-off: where many entries act only on the advice each received
		// itself, each is rejected once before it knows.
		h.failures += failedWeight
	case Unreached, Moved:
		h.failures += unreachedWeight
	default:
		return
	}
	h.failures = min(h.failures, maxFailures)
	if h.failures >= ejectAt {
		h.until = now + min(maxEjection, minEjection<<(h.failures-ejectAt))
	}
}

// Ejected reports whether the target should get no request now.
func (h *Health) Ejected(now clock.Millis) bool {
	return now < h.until
}

// briefEjection is how long a target that seems stuck is ejected; it is renewed while the target seems stuck.
const briefEjection = 600 * clock.Millisecond

// EjectBriefly ejects a target for a short time, or until it serves a request, without counting a failure.
func (h *Health) EjectBriefly(now clock.Millis) {
	h.until = max(h.until, now+briefEjection)
}
