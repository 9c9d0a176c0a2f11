package planner

import "quaydock/pkg/clock"

// Health says whether a target is set aside, and for how long.
type Health struct {
	failures int // in a row, weighed
	until    clock.Millis
}

const (
	minAside = 300 * clock.Millisecond
	maxAside = 3 * clock.Second
	// failedWeight is less than unreachedWeight, since requests may fail for
	// reasons of their own.
	failedWeight    = 1
	unreachedWeight = 3
	asideAt         = 3
	maxFailures     = 8
)

// Note takes the outcome of a request.
func (h *Health) Record(now clock.Millis, o Outcome) {
	switch o {
	case Served:
		h.failures = 0
		h.until = 0
		return
	case Failed, Full:
		// Also if the target asks for rest: of many entries that go by what each was told alone, each is turned away
		// before it knows.
		h.failures += failedWeight
	case Unreached, Moved:
		h.failures += unreachedWeight
	default:
		return
	}
	h.failures = min(h.failures, maxFailures)
	if h.failures >= asideAt {
		h.until = now + min(maxAside, minAside<<(h.failures-asideAt))
	}
}

// Aside reports whether the target should get no request now.
func (h *Health) Ejected(now clock.Millis) bool {
	return now < h.until
}

// suspectTime is how long a target that seems stuck is set aside; it is
// renewed while it seems so.
const suspectTime = 600 * clock.Millisecond

// Suspect sets a target aside for a short time without counting a failure.
func (h *Health) EjectBriefly(now clock.Millis) {
	h.until = max(h.until, now+suspectTime)
}
