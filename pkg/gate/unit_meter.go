package gate

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	microsPerMilli = 1000
	// unitDecay is the factor by which each new request reduces the weight of earlier ones.
	unitDecay = 0.95
	// certainFraction is the fraction of the estimated run time that a request takes for certain.
	// Estimates are means: a request is only given up if it would be late even when it runs
	// well below its estimate.
	certainFraction = 0.9
)

// unitMeter estimates how long a request runs for each token of its work. The estimate
// includes how full the batch is, how fast the target is, and how work estimates
// compare with the work done. Requests count by their work: short ones, whose run time
// varies mostly by one step more or less, carry little information.
type unitMeter struct {
	micros float64 // estimated run time per token in microseconds; 0 before any request has finished
	ran    float64 // weighted sum of run times, in microseconds
	work   float64 // weighted sum of work, in tokens
}

// learn records the run time and work of a finished request.
func (u *unitMeter) learn(ran clock.Millis, work ids.Tokens) {
	u.ran = u.ran*unitDecay + float64(ran)*microsPerMilli
	u.work = u.work*unitDecay + float64(max(1, work))
	u.micros = u.ran / u.work
}

// minRunTime returns the time that work takes for certain; 0 before any request has finished.
func (u *unitMeter) minRunTime(work ids.Tokens) clock.Millis {
	return clock.Millis(certainFraction * u.micros * float64(work) / microsPerMilli)
}
