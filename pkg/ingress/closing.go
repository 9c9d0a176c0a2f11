package ingress

import (
	"sync"
	"sync/atomic"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// Stop is the course of an entry's stop, known from the moment of its signal.
type Stop struct {
	// Narrows is from when on only requests are taken that will surely have ended in time.
	RestrictsFrom clock.Millis
	// Ends is when the process ends.
	EndsAt clock.Millis
}

// closing decides what an entry still takes while it is being stopped and too few others
// are ready: requests that will surely have ended by the time at which it has to. Others
// are told to come back, which a caller that finds a closed port is not.
type closing struct {
	stop atomic.Pointer[Stop] // nil if the entry is not being stopped

	mu      sync.Mutex
	longest map[string]*recentMost // by route, how long answers took
}

const (
	// endDoubt is how many times the longest answer of late has to fit into the time left.
	endDoubt = 2
	// endSpare is kept of the time left.
	endSpare = 200 * clock.Millisecond
	// deadlineSpare is kept between a request's deadline and the end, to tell its caller.
	deadlineSpare = 50 * clock.Millisecond
	// leastLeavingRetry is when to come back at the soonest.
	leastLeavingRetry = clock.Second
)

func newClosing() *closing {
	return &closing{longest: make(map[string]*recentMost)}
}

// note takes how long an answer took.
func (c *closing) note(now clock.Millis, route string, took clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.longest[route]
	if m == nil {
		m = &recentMost{}
		c.longest[route] = m
	}
	m.add(now, took)
}

// narrowing returns the course of the stop once its narrowing has begun, and nil before. It goes by
// the time of the signal and not by a timer: on a VM that is paused or busy a timer goes off late,
// while requests come in.
func (c *closing) narrowing(now clock.Millis) *Stop {
	stop := c.stop.Load()
	if stop == nil || now < stop.RestrictsFrom {
		return nil
	}
	return stop
}

// takes reports whether a request of a route may be taken that is held up to its deadline at
// the most. One whose deadline comes after the end is not taken however short such answers
// have been of late: some take many times as long, and would be cut.
func (c *closing) takes(now, deadline clock.Millis, route *routing.Route) bool {
	stop := c.narrowing(now)
	if stop == nil {
		return true
	}
	if deadline+deadlineSpare > stop.EndsAt {
		return false
	}
	return c.fits(now, route, stop, endDoubt)
}

// sends reports whether a request that was taken earlier may still be sent to a target. If the
// longest answer of late would not fit into the time left, it is better told that it has not
// run: sent, it ends without an answer, and may have run.
func (c *closing) sends(now, deadline clock.Millis, route *routing.Route) bool {
	stop := c.narrowing(now)
	return stop == nil || deadline+deadlineSpare <= stop.EndsAt || c.fits(now, route, stop, 1)
}

// fits reports whether several times the longest recent answer of a route fits into the time left.
func (c *closing) fits(now clock.Millis, route *routing.Route, stop *Stop, times int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.longest[route.Name]
	return m != nil && now+clock.Millis(times)*m.get(now)+endSpare <= stop.EndsAt
}

// retryAfter is when to come back: when this entry will surely have ended, and the ones
// that were stopped before it are back. A caller that comes back sooner finds what it
// found, and may not come a third time.
func (c *closing) retryAfter(now clock.Millis) clock.Millis {
	stop := c.stop.Load()
	if stop == nil {
		return leastLeavingRetry
	}
	return max(leastLeavingRetry, stop.EndsAt-now)
}

// forget drops routes that are gone.
func (c *closing) forget(known func(route string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.longest {
		if !known(name) {
			delete(c.longest, name)
		}
	}
}

// recentMost is the largest value of late; older ones fade by halves.
type recentMost struct {
	span            clock.Millis // the number of the present one
	present, before clock.Millis
}

// recentSpan is how long a span is.
const recentSpan = 10 * clock.Second

func (m *recentMost) move(now clock.Millis) {
	span := now / recentSpan
	if span == m.span {
		return
	}
	if m.present > 0 || span > m.span+1 {
		m.before = max(m.present, m.before/2) // what is old counts less, but never nothing
	}
	m.present = 0
	m.span = span
}

func (m *recentMost) add(now, value clock.Millis) {
	m.move(now)
	m.present = max(m.present, value)
}

func (m *recentMost) get(now clock.Millis) clock.Millis {
	m.move(now)
	return max(m.before, m.present)
}
