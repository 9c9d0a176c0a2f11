package schedule

import "quaydock/pkg/clock"

// health says whether a target is set aside, and for how long.
type health struct {
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

// note takes the outcome of a request.
func (h *health) note(now clock.Millis, o Outcome) {
	switch o {
	case Served:
		h.failures = 0
		h.until = 0
		return
	case Failed, Full:
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

// aside reports whether the target should get no request now.
func (h *health) aside(now clock.Millis) bool {
	return now < h.until
}
