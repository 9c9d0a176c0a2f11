package planner

import (
	"errors"
	"math"

	"quaydock/pkg/ablation"
	"quaydock/pkg/ids"
)

// Learned is what a planner has learned of its targets, for one that takes over:
// times and factors change slowly, while a planner that knows nothing places
// long prompts on slow targets until each has answered a few times.
type Estimates struct {
	_ struct{} `cbor:",toarray"`
	// First and Pause are the lines of the times to the first event and between
	// events, on a target of factor 1.
	First, Pause LineFit
	// Hold is the longest that prompts hold up one event, in ms; 0 if unknown.
	PrefillStall float64
	// Factors says how much slower than the others targets are, each in one life.
	Factors map[ids.TargetIncarnation]float64
}

// mostFactor is beyond any factor that a planner learns, upwards and downwards.
const mostFactor = 1000

var errLearned = errors.New("what was learned: numbers that no planner tells")

// Check reports what no planner tells, as of a row that another writer left: a factor that is
// no number would have its target never placed on, or always.
func (l *Estimates) Check() error {
	for _, f := range l.Factors {
		if !(f >= 1.0/mostFactor && f <= mostFactor) {
			return errLearned
		}
	}
	for _, line := range []LineFit{l.First, l.Pause} {
		if !line.sound() {
			return errLearned
		}
	}
	if !(l.PrefillStall >= 0 && l.PrefillStall <= math.MaxInt32) {
		return errLearned
	}
	return nil
}

// sound reports whether all sums are numbers, of no points below none.
func (l *LineFit) sound() bool {
	for _, sum := range []float64{l.X, l.Y, l.XX, l.XY} {
		if math.IsNaN(sum) || math.IsInf(sum, 0) {
			return false
		}
	}
	return l.N >= 0 && !math.IsInf(l.N, 0)
}

// Line is a straight line through observed points.
type LineFit struct {
	_ struct{} `cbor:",toarray"`
	// N counts the points, the newest most; the others are their sums, weighed so.
	N, X, Y, XX, XY float64
}

// adoptedWeight is for how many observations what was learned elsewhere counts
// at the most, so that own ones soon prevail.
const adoptedWeight = 40

// Learned returns what has been learned, or nil as long as it is too little to be
// of use.
func (p *Planner) Estimates() *Estimates {
	if p.speeds.first.n < minKnown {
		return nil
	}
	l := &Estimates{First: p.speeds.first.told(), Pause: p.speeds.pause.told(), PrefillStall: p.speeds.hold.most, Factors: make(map[ids.TargetIncarnation]float64)}
	for life, t := range p.targets {
		if t.factor.known {
			l.Factors[life] = t.factor.value
		}
	}
	return l
}

// Adopt takes over what was learned elsewhere, where nothing is known yet.
func (p *Planner) Adopt(l *Estimates) {
	if p.off.Off(ablation.Learned) {
		return
	}
	if p.speeds.first.n < minKnown {
		p.speeds.first.adopt(l.First)
	}
	if p.speeds.pause.n < minKnown {
		p.speeds.pause.adopt(l.Pause)
	}
	if p.speeds.hold.most == 0 {
		p.speeds.hold.most = l.PrefillStall
	}
	for life, f := range l.Factors {
		if t := p.targets[life]; t != nil && !t.factor.known {
			t.factor = factor{value: f, known: true}
		}
	}
}

func (l *line) told() LineFit {
	return LineFit{N: l.n, X: l.x, Y: l.y, XX: l.xx, XY: l.xy}
}

func (l *line) adopt(t LineFit) {
	if t.N <= 0 {
		return
	}
	part := min(1, adoptedWeight/t.N)
	*l = line{n: t.N * part, x: t.X * part, y: t.Y * part, xx: t.XX * part, xy: t.XY * part}
}
