// Package slowdown estimates for how long a target that has reported that work takes longer there will go on so. It does
// no I/O and reads no clock.
package slowdown

import (
	"math"

	"quaydock/pkg/clock"
)

// Factor is how many times as long as usual work takes at a target at a moment, apart from its lasting speed: 1 as
// usual, 0 if the target did not report it.
type Factor float64

const (
	// Usual is the factor of a target of which nothing is known.
	Usual Factor = 1
	// minFactor and maxFactor are the limits of reports that are believed.
	minFactor Factor = 0.2
	maxFactor Factor = 10
	// slowedFrom is the factor, in relation to its mean, from which a target counts as slowed.
	slowedFrom = 1.2
	// maxAge is the age at which a report says nothing any more: a target without answers for so long may have any
	// factor.
	maxAge = 2 * clock.Second
)

// Estimate is the passing slowness of one target by its reports. The zero value is that of a target without reports.
type Estimate struct {
	newest     Factor       // of the newest report, within the limits
	reportedAt clock.Millis // time of that report; 0 without one
	total      float64      // integral of the expected factor up to reportedAt, in ms
	lasting    average      // of the reports
	// constant is that of the Persistence at the newest report, so that what is expected of a silent target does not
	// depend on what others report meanwhile.
	constant float64 // ms
}

// Report adds a report and learns from the one before it. It ignores a factor of 0 or less, and NaN.
func (e *Estimate) Report(now clock.Millis, f Factor, p *Persistence) {
	if !(f > 0) { // also NaN
		return
	}
	f = min(maxFactor, max(minFactor, f))
	e.total = e.Total(now)
	if e.reportedAt > 0 {
		gap := max(0, now-e.reportedAt)
		p.learn(gap, e.newest, f, e.Mean())
		const half = 0.5
		e.lasting.add(min(maxAge, gap), half*(e.newest+f))
	}
	e.newest, e.reportedAt, e.constant = f, now, p.constant()
}

// Mean returns the factor that the target has in the mean: reports may hold its lasting speed too.
func (e *Estimate) Mean() Factor { return e.lasting.get(Usual) }

// Age returns the time since the newest report, and 0 without one.
func (e *Estimate) Age(now clock.Millis) clock.Millis {
	if e.reportedAt == 0 {
		return 0
	}
	return max(0, now-e.reportedAt)
}

// certainty returns how certain it is that the newest report holds at a moment, from 1 down to 0.
func (e *Estimate) certainty(now clock.Millis) float64 {
	age := e.Age(now)
	if e.reportedAt == 0 || age >= maxAge {
		return 0
	}
	return math.Exp(-float64(age) / e.constant)
}

// Forecast returns what is expected from a moment on.
func (e *Estimate) Forecast(now clock.Millis) Forecast {
	s := e.Sample(now)
	return Forecast{mean: s.mean, excess: s.excess(), constant: e.constant}
}

// Total returns the integral of the expected factor up to a moment, in ms. The difference between two moments gives the
// mean in between (see MeanOver).
func (e *Estimate) Total(now clock.Millis) float64 {
	if e.reportedAt == 0 {
		return float64(Usual) * float64(now)
	}
	mean, age := e.Mean(), float64(e.Age(now))
	believed := min(age, float64(maxAge))
	return e.total + float64(mean)*age + float64(e.newest-mean)*e.constant*(1-math.Exp(-believed/e.constant))
}

// Sample returns the newest report and how certain it is that it holds at a moment.
func (e *Estimate) Sample(now clock.Millis) Sample {
	return Sample{mean: e.Mean(), factor: e.newest, certainty: e.certainty(now)}
}

// Sample is a report at a moment.
type Sample struct {
	mean      Factor // of the target
	factor    Factor
	certainty float64 // from 1 down to 0
}

// Expected returns the factor that is expected at the moment.
func (s Sample) Expected() Factor { return s.mean + Factor(s.excess()) }

// excess returns the expected factor less the mean.
func (s Sample) excess() float64 { return float64(s.factor-s.mean) * s.certainty }

// Between returns the mean factor between two samples, to which the more certain one contributes more.
func Between(a, b Sample) Factor {
	const unknown = 0.1 // the weight of the target's mean, which decides if both are uncertain
	sum := unknown + a.certainty + b.certainty
	return (b.mean*unknown + a.factor*Factor(a.certainty) + b.factor*Factor(b.certainty)) / Factor(sum)
}

// MeanOver returns the mean factor over a time, given the values of Total at its start and its end.
func MeanOver(from, until float64, length clock.Millis) Factor {
	if length <= 0 {
		return Usual
	}
	return min(maxFactor, max(minFactor, Factor((until-from)/float64(length))))
}

// Forecast is the factor that is expected from a moment on: it approaches the target's mean, since a target that works as
// usual now may be slowed before a long run ends. The zero value stands for Usual at all times.
type Forecast struct {
	mean     Factor  // of the target; 0 stands for Usual
	excess   float64 // the factor less the mean, now
	constant float64 // in ms, in which the excess falls to 1/e
}

// Now returns the factor at the moment of the forecast.
func (f Forecast) Now() Factor { return f.lasting() + Factor(f.excess) }

// lasting returns the factor that the forecast approaches.
func (f Forecast) lasting() Factor {
	if f.mean == 0 {
		return Usual
	}
	return f.mean
}

// Slowed reports whether work takes notably longer than in the target's mean.
func (f Forecast) Slowed() bool { return f.Excess() >= slowedFrom }

// Excess returns by how much work takes longer now than in the target's mean: 1 as long.
func (f Forecast) Excess() float64 { return float64(f.Now() / f.lasting()) }

// Over returns the mean factor over the next ms.
func (f Forecast) Over(ms float64) Factor {
	if f.excess == 0 || ms <= 0 {
		return f.Now()
	}
	return f.lasting() + Factor(f.excess*f.constant/ms*(1-math.Exp(-ms/f.constant)))
}
