package planner

import "quaydock/pkg/clock"

// rate counts events over a sliding time.
type rate struct {
	steps [rateSteps]int
	at    clock.Millis // the number of the newest step
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
	if step-r.at >= rateSteps {
		r.steps = [rateSteps]int{}
		r.at = step
	}
	for r.at < step {
		r.at++
		r.steps[r.at%rateSteps] = 0
	}
}

// perSecond is the mean over the whole time, also while less has passed since
// the first event.
func (r *rate) perSecond(now clock.Millis) float64 {
	r.move(now)
	total := 0
	for _, n := range r.steps {
		total += n
	}
	return float64(total) * float64(clock.Second) / float64(rateSteps*rateStep)
}
