package planner

import "quaydock/pkg/clock"

// rate counts events over a sliding time.
type rate struct {
	steps [rateSteps]int
	at    clock.Millis // the number of the newest step
	since clock.Millis // the first step counted
}

const (
	rateSteps = 20
	rateStep  = 100 * clock.Millisecond
)

func (r *rate) add(now clock.Millis) {
	r.move(now)
	r.steps[r.at%rateSteps]++
}

func (r *rate) move(now clock.Millis) {
	step := now / rateStep
	if r.since == 0 {
		r.at, r.since = step, step
	}
	if step-r.at >= rateSteps {
		r.steps = [rateSteps]int{}
		r.at = step
	}
	for r.at < step {
		r.at++
		r.steps[r.at%rateSteps] = 0
	}
}

// perSecond is the mean over the time counted.
func (r *rate) perSecond(now clock.Millis) float64 {
	r.move(now)
	total := 0
	for _, n := range r.steps {
		total += n
	}
	steps := min(rateSteps, max(1, r.at-r.since+1))
	return float64(total) * float64(clock.Second) / float64(steps*rateStep)
}
