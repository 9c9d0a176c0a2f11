package gate

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	microsPerMilli = 1000
	// unitKeep is the part of what is known that each further request leaves.
	unitKeep = 0.95
	// sureShare is the part of the estimated run time that a request is sure to
	// take. Estimates are means; a request is only given up when well below its
	// estimate it would still be late.
	sureShare = 0.9
)

// unitMeter learns how long a request runs for each token of its work. It
// takes in how full the batch is, how fast the target is, and how the
// estimates of work compare with what is really done. Requests count by their
// work: short ones, whose run is mostly one step more or less, say little.
type unitMeter struct {
	micros float64
	ran    float64
	work   float64
}

func (u *unitMeter) learn(ran clock.Millis, work ids.Tokens) {
	u.ran = u.ran*unitKeep + float64(ran)*microsPerMilli
	u.work = u.work*unitKeep + float64(max(1, work))
	u.micros = u.ran / u.work
}

// least returns the time that work is sure to take; 0 before any is known.
func (u *unitMeter) least(work ids.Tokens) clock.Millis {
	return clock.Millis(sureShare * u.micros * float64(work) / microsPerMilli)
}
