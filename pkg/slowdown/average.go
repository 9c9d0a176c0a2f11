package slowdown

import (
	"math"

	"quaydock/pkg/clock"
)

// average is the mean of a factor over time, in which recent time counts more.
type average struct {
	observed float64 // ms
	total    float64 // integral of the factor over that time
}

const (
	// averageConstant is the time in ms in which the weight of an observation falls to 1/e: several times what a passing
	// slowness lasts, so that only what lasts is in the mean.
	averageConstant = 10_000.0
	// averagePrior is the time in ms for which the factor is assumed to have been the initial one before the first.
	averagePrior = 500.0
)

// add adds the time for which a factor held.
func (a *average) add(length clock.Millis, f Factor) {
	kept := math.Exp(-float64(length) / averageConstant)
	a.observed = a.observed*kept + float64(length)
	a.total = a.total*kept + float64(length)*float64(f)
}

// get returns the mean, given an initial one.
func (a *average) get(initial Factor) Factor {
	return Factor((a.total + averagePrior*float64(initial)) / (a.observed + averagePrior))
}
