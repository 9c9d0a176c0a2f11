package planner

import (
	"errors"
	"math"

	"quaydock/pkg/ablation"
	"quaydock/pkg/ids"
)

// Estimates are the fitted times and speed factors of a planner's targets, for a planner that takes over: they
// change slowly, while a planner without them assigns long prompts to slow targets until each has answered a few
// times.
type Estimates struct {
	_ struct{} `cbor:",toarray"`
	// First and Pause are the fits of the time to the first event and the time between events, for a target of
	// factor 1.
	First, Pause LineFit
	// PrefillStall is the longest delay that prompts being read cause to one event, in ms; 0 if unknown.
	PrefillStall float64
	// Factors holds by how much each target is slower than the others, per incarnation.
	Factors map[ids.TargetIncarnation]float64
}

// maxLearnedFactor and its inverse lie beyond any factor that a planner learns.
const maxLearnedFactor = 1000

var errInvalidEstimates = errors.New("planner estimates: value out of range")

// Check returns an error for values that no planner produces, as in a row that another writer left: a target with a
// NaN factor would get no job at all, or every job.
func (e *Estimates) Check() error {
	for _, f := range e.Factors {
		if !(f >= 1.0/maxLearnedFactor && f <= maxLearnedFactor) {
			return errInvalidEstimates
		}
	}
	for _, line := range []LineFit{e.First, e.Pause} {
		if !line.valid() {
			return errInvalidEstimates
		}
	}
	if !(e.PrefillStall >= 0 && e.PrefillStall <= math.MaxInt32) {
		return errInvalidEstimates
	}
	return nil
}

// valid reports whether all sums are finite and the number of points is not negative.
func (l *LineFit) valid() bool {
	for _, sum := range []float64{l.X, l.Y, l.XX, l.XY} {
		if math.IsNaN(sum) || math.IsInf(sum, 0) {
			return false
		}
	}
	return l.N >= 0 && !math.IsInf(l.N, 0)
}

// LineFit holds the sums of a linear regression.
type LineFit struct {
	_ struct{} `cbor:",toarray"`
	// N is the number of points, in which newer ones count more; the others are the sums with the same weights.
	N, X, Y, XX, XY float64
}

// maxAdoptedWeight is the largest number of observations that adopted estimates count for, so that a planner's own
// ones soon prevail.
const maxAdoptedWeight = 40

// Estimates returns the current estimates, or nil while there are too few observations for them to be useful.
func (p *Planner) Estimates() *Estimates {
	if p.timings.firstEvent.n < minObservations {
		return nil
	}
	l := &Estimates{First: p.timings.firstEvent.export(), Pause: p.timings.interval.export(), PrefillStall: p.timings.prefillStall.estimate, Factors: make(map[ids.TargetIncarnation]float64)}
	for incarnation, t := range p.targets {
		if t.factor.known {
			l.Factors[incarnation] = t.factor.value
		}
	}
	return l
}

// AdoptEstimates takes over estimates of another planner for those that are not known here yet.
func (p *Planner) AdoptEstimates(l *Estimates) {
	if p.off.Off(ablation.Learned) {
		return
	}
	if p.timings.firstEvent.n < minObservations {
		p.timings.firstEvent.restore(l.First)
	}
	if p.timings.interval.n < minObservations {
		p.timings.interval.restore(l.Pause)
	}
	if p.timings.prefillStall.estimate == 0 {
		p.timings.prefillStall.estimate = l.PrefillStall
	}
	for incarnation, f := range l.Factors {
		if t := p.targets[incarnation]; t != nil && !t.factor.known {
			t.factor = factor{value: f, known: true}
		}
	}
}

// export returns the sums, to be sent to another planner.
func (l *line) export() LineFit {
	return LineFit{N: l.n, X: l.x, Y: l.y, XX: l.xx, XY: l.xy}
}

// restore replaces the line by another planner's, which counts for at most maxAdoptedWeight observations; one without
// points is ignored.
func (l *line) restore(t LineFit) {
	if t.N <= 0 {
		return
	}
	scale := min(1, maxAdoptedWeight/t.N)
	*l = line{n: t.N * scale, x: t.X * scale, y: t.Y * scale, xx: t.XX * scale, xy: t.XY * scale}
}
