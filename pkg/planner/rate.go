package planner

import "quaydock/pkg/clock"

// rate counts events over a sliding window, divided into steps. A step is numbered by its start divided by rateStep.
type rate struct {
	steps  [rateSteps]int // a ring: the events of step n are at n modulo its length
	total  int            // of all steps
	newest clock.Millis   // the number of the newest step, not a time
}

// The window has rateSteps steps of rateStep each.
const (
	rateSteps = 20
	rateStep  = 100 * clock.Millisecond
)

// add counts one event.
func (r *rate) add(now clock.Millis) {
	r.advance(now)
	r.steps[r.newest%rateSteps]++
	r.total++
}

// advance clears the steps that have left the window.
func (r *rate) advance(now clock.Millis) {
	step := now / rateStep
	if step-r.newest >= rateSteps {
		r.steps = [rateSteps]int{}
		r.total = 0
		r.newest = step
	}
	for r.newest < step {
		r.newest++
		r.total -= r.steps[r.newest%rateSteps]
		r.steps[r.newest%rateSteps] = 0
	}
}

// perSecond returns the mean over the whole window, also while less time has passed since the first event.
func (r *rate) perSecond(now clock.Millis) float64 {
	r.advance(now)
	return float64(r.total) * float64(clock.Second) / float64(rateSteps*rateStep)
}

// rateBySize counts the grants to the jobs of a tier by size class.
type rateBySize [sizeClasses]rate

// rateBefore returns the rate per second of the jobs in the tier that go before a given one: of all if it is late, else
// those of smaller size classes and half of those of its own.
func (r *rateBySize) rateBefore(now clock.Millis, w *queuedJob) float64 {
	if w.late(now) {
		return r.perSecond(now)
	}
	const half = 0.5
	sum := half * r[w.size].perSecond(now)
	for i := range w.size {
		sum += r[i].perSecond(now)
	}
	return sum
}

// perSecond returns the rate of all size classes together.
func (r *rateBySize) perSecond(now clock.Millis) float64 {
	sum := 0.0
	for i := range r {
		sum += r[i].perSecond(now)
	}
	return sum
}
