package planner

import (
	"math"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
)

// callLimit decides how many calls without a prompt and without events a target runs at once: fewer than it has slots if it
// then completes more of them per second, as targets do that slow down when they are nearly full. A call counts at the level
// of fill at which it was granted: what runs beside it later depends on how long it lasts. The level above the limit is tried
// again and again, since nothing else would show that the limit has become too low.
type callLimit [fillLevels]callLevel

// callLevel holds the times of calls that were granted at one level.
type callLevel struct {
	// known is the newest sample of minObservations calls or more, the zero value before the first.
	known callSample
	// collecting is the sample that calls are added to.
	collecting callSample
}

// callSample holds the times in ms of calls that came without a long pause, for a target of factor 1; newer ones count more.
type callSample struct {
	sum, n float64
	at     clock.Millis // time of the newest one
}

// mean returns the mean time in ms.
func (s *callSample) mean() float64 { return s.sum / s.n }

const (
	// notablyFewer is the fraction of the highest rate below which the rate of a full target counts as notably lower.
	notablyFewer = 0.85
	// confirmInterval is for how long a sample of the level above keeps the limit in force: callers may be refused meanwhile
	// though slots are free. After as long a pause a new sample begins, as other calls may come then.
	confirmInterval = clock.Second
)

// add adds the time of a call that was granted at a level. After confirmInterval without any, a new sample begins.
func (c *callLimit) add(now clock.Millis, level int, ms float64) {
	l := &c[level]
	s := &l.collecting
	if now-s.at > confirmInterval {
		*s = callSample{}
	}
	s.sum = s.sum*levelDecay + ms
	s.n = s.n*levelDecay + 1
	s.at = now
	if s.n >= minObservations {
		l.known = *s
	}
}

// scale multiplies all times by a factor.
func (c *callLimit) scale(x float64) {
	for i := range c {
		c[i].known.sum *= x
		c[i].collecting.sum *= x
	}
}

// slots returns how many calls a target of a capacity runs at once. That is less than the capacity only if a full target
// completes notably fewer, and only while the level above shows that more calls at once take longer; else it is that level.
func (c *callLimit) slots(now clock.Millis, capacity int) int {
	best, full := -1, -1
	for level := range c {
		if n := mostOfLevel(level, capacity); c[level].known.n == 0 || n == 0 || fillLevel(n, capacity) != level {
			continue
		}
		full = level
		if best < 0 || c.rate(level, capacity) > c.rate(best, capacity) {
			best = level
		}
	}
	if best == full || !c.notablyLower(full, best, capacity) {
		return capacity
	}
	most := mostOfLevel(best, capacity)
	above := fillLevel(most+1, capacity)
	if known := &c[above].known; known.n > 0 && now-known.at <= confirmInterval {
		return most
	}
	return mostOfLevel(above, capacity)
}

// rate returns how many calls a target of factor 1 completes in a ms at a level.
func (c *callLimit) rate(level, capacity int) float64 {
	return float64(mostOfLevel(level, capacity)) / max(1, c[level].known.mean())
}

// notablyLower reports whether the rate at a level is lower than at another one, by more than chance explains: calls differ
// in length by about as much as they take in the mean.
func (c *callLimit) notablyLower(level, other, capacity int) bool {
	chance := math.Sqrt(1/c[level].known.n + 1/c[other].known.n)
	return c.rate(level, capacity) < min(notablyFewer, math.Exp(-chance))*c.rate(other, capacity)
}

// slotsForCalls returns how many of a target's slots are used. It is fewer than the target has only as long as the service
// has not had a stream.
func (p *Planner) slotsForCalls(now clock.Millis, t *target) int {
	if !p.limitsCalls() {
		return t.capacity()
	}
	slots := p.callLimit.slots(now, t.capacity())
	if p.fewerCalls.target == t {
		return min(slots, halfOf(t.capacity()))
	}
	return slots
}

// limitsCalls reports whether targets may get fewer calls at once than they have slots.
func (p *Planner) limitsCalls() bool {
	return p.timings.interval.n == 0 && !p.off.Off(ablation.CallTimes)
}

// crowded reports whether a target has a free slot that is better left unused.
func (p *Planner) crowded(now clock.Millis, t *target) bool {
	return len(t.runs) >= p.slotsForCalls(now, t)
}
