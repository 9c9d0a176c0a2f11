package planner

import "quaydock/pkg/clock"

// rate counts events over a sliding window.
type rate struct {
	steps  [rateSteps]int
	total  int          // of all steps
	newest clock.Millis // index of the newest step
}

const (
	rateSteps = 20
	rateStep  = 100 * clock.Millisecond
)

func (r *rate) add(now clock.Millis) {
	r.advance(now)
	r.steps[r.newest%rateSteps]++
	r.total++
}

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

// rateBySize counts the jobs of a tier by size class.
type rateBySize [sizeClasses]rate

// rateBefore returns the rate of the jobs in the tier that are served before a given one: all others if it is late,
// else those of smaller size classes and half of those of its own.
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

// perSecond returns the rate of all jobs.
func (r *rateBySize) perSecond(now clock.Millis) float64 {
	sum := 0.0
	for i := range r {
		sum += r[i].perSecond(now)
	}
	return sum
}
