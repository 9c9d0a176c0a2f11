package ingress

import (
	"sync"
	"sync/atomic"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// Stop is the schedule of an entry's drain, known from the moment of its signal. Its times are points in time by the
// entry's clock.
type Stop struct {
	// RestrictsFrom is when the restriction begins: from then on only requests are admitted that will surely
	// end in time.
	RestrictsFrom clock.Millis
	// EndsAt is when the process ends.
	EndsAt clock.Millis
}

// drainAdmission decides what an entry still takes and sends while it drains. A request that may outlast the process can
// be broken off at its end, so from the signal on it is sent to another entry as long as enough others are ready. While too
// few are, it would only meet the next one that stops; it is then taken until stop.RestrictsFrom. From then on the entry
// takes only requests that will surely end before it has to. Other callers are told to come back, which a closed port
// would not tell them.
type drainAdmission struct {
	stop    atomic.Pointer[Stop] // nil unless the entry drains
	entries Entries

	mu      sync.Mutex            // guards longest
	longest map[string]*recentMax // by route: how long answers took
}

const (
	// durationFactor is how many times the longest recent answer of a route has to fit into the time left for a new
	// request to be admitted. To send one that was admitted, once is enough.
	durationFactor = 2
	// endMargin is subtracted from the time left before the longest recent answers are fitted into it.
	endMargin = 200 * clock.Millisecond
	// deadlineMargin is kept between a request's deadline and the process's end, to answer its caller.
	deadlineMargin = 50 * clock.Millisecond
	// minLeavingRetry is the shortest Retry-After of a draining entry while too few others are ready.
	minLeavingRetry = clock.Second
	// elsewhereRetry is the Retry-After of a draining entry while enough others are ready: a caller that comes back makes a
	// new connection, which most likely leads to another entry. It is longer than deadlineTolerance, so that every entry
	// knows that the caller has been refused before.
	elsewhereRetry = 40 * clock.Millisecond
)

func newDrainAdmission(entries Entries) *drainAdmission {
	return &drainAdmission{entries: entries, longest: make(map[string]*recentMax)}
}

// record adds how long a request took from its arrival to the end of its answer.
func (c *drainAdmission) record(now clock.Millis, route string, took clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.longest[route]
	if m == nil {
		m = &recentMax{}
		c.longest[route] = m
	}
	m.add(now, took)
}

// restriction returns the drain's schedule once its restriction has begun, and nil before. It compares times
// instead of using a timer: on a VM that is paused or busy a timer fires late, while requests arrive.
func (c *drainAdmission) restriction(now clock.Millis) *Stop {
	stop := c.stop.Load()
	if stop == nil || now < stop.RestrictsFrom {
		return nil
	}
	return stop
}

// admits reports whether a request of a route with the given deadline may be admitted. One whose deadline comes after
// the process's end is not admitted in the restriction, however short recent answers of the route were: some take many
// times as long, and would be broken off. Before the restriction it is not admitted while enough other entries are ready,
// unless its caller has been refused before: the balancer may send it here again, and it may not try a third time.
func (c *drainAdmission) admits(now, deadline clock.Millis, route *routing.Route, returned bool) bool {
	stop := c.stop.Load()
	switch {
	case stop == nil:
		return true
	case now < stop.RestrictsFrom:
		return returned || endsBefore(stop, deadline) || !c.entries.OthersReady()
	default:
		return endsBefore(stop, deadline) && c.fits(now, route, stop, durationFactor)
	}
}

// maySend reports whether a request that was admitted earlier may be sent to a target, for the first time or once more.
// One whose deadline is deadlineMargin or more before the process's end always may. In the restriction, of any other, if
// the longest recent answer would not fit into the time left, the caller is better told now what became of it: once sent,
// it may run and still end without an answer.
func (c *drainAdmission) maySend(now, deadline clock.Millis, route *routing.Route) bool {
	stop := c.restriction(now)
	return stop == nil || endsBefore(stop, deadline) || c.fits(now, route, stop, 1)
}

// endsBefore reports whether a request with the given deadline is over deadlineMargin or more before the process ends.
func endsBefore(stop *Stop, deadline clock.Millis) bool {
	return deadline+deadlineMargin <= stop.EndsAt
}

// fits reports whether the longest recent answer of a route fits the given number of times into the time left. It is
// false for a route that has had no answer yet.
func (c *drainAdmission) fits(now clock.Millis, route *routing.Route, stop *Stop, times int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.longest[route.Name]
	return m != nil && now+clock.Millis(times)*m.get(now)+endMargin <= stop.EndsAt
}

// retryAfter returns when callers should come back: at once while enough other entries are ready, and else when this one
// has certainly ended and the ones that were stopped before it run again. A caller that came back sooner would meet the
// same refusal, and may not try a third time.
func (c *drainAdmission) retryAfter(now clock.Millis) clock.Millis {
	stop := c.stop.Load()
	switch {
	case stop == nil:
		return minLeavingRetry
	case c.entries.OthersReady():
		return elsewhereRetry
	default:
		return max(minLeavingRetry, stop.EndsAt-now)
	}
}

// retain drops routes that no longer exist.
func (c *drainAdmission) retain(exists func(route string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.longest {
		if !exists(name) {
			delete(c.longest, name)
		}
	}
}

// recentMax is the maximum of recent durations; older ones decay by halves. drainAdmission.mu guards it.
type recentMax struct {
	span              clock.Millis // number of the current span, counted from the Unix epoch
	current, previous clock.Millis // maximum of the current span; that of earlier ones, after the decay
}

// recentSpan is the length of a span.
const recentSpan = 10 * clock.Second

// advance begins the span that now falls into, if it is a new one. The maximum of earlier spans decays by one step if
// the last span had a value or if spans were skipped, however many, and else not at all.
func (m *recentMax) advance(now clock.Millis) {
	span := now / recentSpan
	if span == m.span {
		return
	}
	if m.current > 0 || span > m.span+1 {
		m.previous = max(m.current, m.previous/2) // older values count less, but are not dropped
	}
	m.current = 0
	m.span = span
}

// add records a duration that was measured now.
func (m *recentMax) add(now, value clock.Millis) {
	m.advance(now)
	m.current = max(m.current, value)
}

// get returns the maximum, 0 if there was no value.
func (m *recentMax) get(now clock.Millis) clock.Millis {
	m.advance(now)
	return max(m.previous, m.current)
}
