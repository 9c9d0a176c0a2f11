package fairshare

import (
	"math"

	"quaydock/pkg/clock"
)

// Decay computes by how much something counts less after some time. It keeps the last result, since many counts are
// brought from one time to another together.
type Decay struct {
	window   clock.Millis // time constant
	from, to clock.Millis
	factor   float64
}

// NewDecay returns a decay with a time constant.
func NewDecay(window clock.Millis) Decay {
	return Decay{window: window, factor: 1}
}

// Factor returns the factor by which what counted at a time counts at a later one.
func (d *Decay) Factor(from, to clock.Millis) float64 {
	if from != d.from || to != d.to {
		d.from, d.to = from, to
		d.factor = math.Exp(-float64(to-from) / float64(d.window))
	}
	return d.factor
}
