package planner

import (
	"math"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// line is a linear regression over observations in which newer ones count more. They are times of targets that differ in
// speed, and the fit holds for one of factor 1.
type line struct {
	// n is the sum of the weights, which are 1 in the mean; the others are the weighted sums of x, y, x*x and x*y.
	n, x, y, xx, xy float64
}

// lineDecay is the factor by which each observation reduces the weight of the earlier ones: about the last two
// hundred count.
const lineDecay = 0.995

// add adds a time of a target that had a factor, by which the time is divided and weighted: the mean of quotients would be
// too high where factors vary. The factor must not have learned from this time yet: a long one would count for less than a
// short one, so that the fit would be too low.
func (l *line) add(x, took, f float64) {
	l.n = l.n*lineDecay + f
	l.x = l.x*lineDecay + f*x
	l.y = l.y*lineDecay + took
	l.xx = l.xx*lineDecay + f*x*x
	l.xy = l.xy*lineDecay + x*took
}

// fit returns the value at 0 and the slope, neither below zero: if the value would be, the line goes through the origin
// instead. Without observations both are 0.
func (l *line) fit() (base, slope float64) {
	if l.n < 1 {
		return 0, 0
	}
	slope = l.slope()
	base = (l.y - slope*l.x) / l.n
	if base < 0 {
		return 0, l.y / max(l.x, 1)
	}
	return base, slope
}

const (
	// lineNoise is the assumed standard deviation of times with the same x, as a fraction of the mean time.
	lineNoise = 0.25
	// slopeSigmas is the number of standard errors up to which a slope counts as chance.
	slopeSigmas = 2.0
)

// slope returns the slope of the line, not below zero: that of least squares, shrunk towards 0 the less it exceeds what
// chance gives. Where nearly all x are alike, chance would otherwise decide what the line says of an x far from these.
func (l *line) slope() float64 {
	variance := l.xx - l.x*l.x/l.n // times n
	if variance <= 1e-9 {
		return 0 // all x are equal
	}
	slope := (l.xy - l.x*l.y/l.n) / variance
	if slope <= 0 {
		return 0
	}
	byChance := slopeSigmas * lineNoise * l.y / l.n / math.Sqrt(variance)
	return slope * max(0, 1-byChance*byChance/(slope*slope))
}

// timings are the estimates for a group of targets, in ms: the time to the first event by the prompt tokens to be read
// before it, and the time between events by the number of running requests. All hold for a target of factor 1.
type timings struct {
	firstEvent   line
	interval     line
	prefillStall prefillStall
}

// prefillStall estimates the longest delay that prompts being read cause to one event of a stream. Engines read a
// prompt in chunks between the tokens of concurrent streams, so a long prompt delays each event by a limited number
// of chunks.
type prefillStall struct{ estimate float64 } // ms; 0 before any observation

const (
	// defaultPrefillStall is the estimate in ms before any observation. It is low, since with too high an estimate
	// the jobs would not be placed that show it to be wrong.
	defaultPrefillStall = 100.0
	// stallGainUp is the weight of an observation above the estimate, stallGainDown of one below it: prefill that
	// ended early tells less.
	stallGainUp   = 0.05
	stallGainDown = 0.0125
	// stallOutlierCap limits an observation to a multiple of the estimate: longer gaps have other causes.
	stallOutlierCap = 2.0
	// stallMinRatio is by what factor the prefill time must exceed the estimate for an observation to count.
	stallMinRatio = 1.2
)

// get returns the estimate in ms.
func (s *prefillStall) get() float64 {
	if s.estimate == 0 {
		return defaultPrefillStall
	}
	return s.estimate
}

// longestGap estimates in ms the longest gap between events of a stream on a target that runs so many requests and
// concurrently reads so many prompt tokens.
func (s *timings) longestGap(running int, tokens ids.Tokens) float64 {
	return s.eventInterval(running) + min(s.prefillStall.get(), s.prefillTime(tokens))
}

// learnPrefillStall learns from the longest gap of a stream on a target slower by f that ran so many requests, during
// which backlog prompt tokens were pending at once. A stream counts only if reading them took long enough to show the
// whole stall.
func (s *timings) learnPrefillStall(f float64, backlog ids.Tokens, running int, longest clock.Millis) {
	estimate := s.prefillStall.get()
	if s.firstEvent.n < minObservations || s.prefillTime(backlog) < stallMinRatio*estimate {
		return
	}
	stall := float64(longest)/f - s.eventInterval(running)
	gain := stallGainUp
	if stall < estimate {
		gain = stallGainDown
	}
	s.prefillStall.estimate = estimate + gain*(min(max(stall, 0), stallOutlierCap*estimate)-estimate)
}

// Estimates before any observation.
const (
	defaultFirstEvent = 50.0 // ms
	defaultInterval   = 25.0 // ms per event
)

// firstEventTime returns the time in ms to the first event, before which so many prompt tokens are read.
func (s *timings) firstEventTime(tokens ids.Tokens) float64 {
	base, slope := s.firstEvent.fit()
	if s.firstEvent.n < 1 {
		return defaultFirstEvent
	}
	return base + slope*float64(tokens)
}

// prefillTime returns the part of the time to the first event that grows with the prompt, in ms.
func (s *timings) prefillTime(tokens ids.Tokens) float64 {
	_, slope := s.firstEvent.fit()
	return slope * float64(tokens)
}

// eventInterval returns the time in ms between two events of a stream on a target that runs so many requests.
func (s *timings) eventInterval(running int) float64 {
	if s.interval.n < 1 {
		return defaultInterval
	}
	base, slope := s.interval.fit()
	return base + slope*float64(running)
}

// factor is the slowness of a target relative to the others, as a moving average: 2 means that it takes twice the time.
type factor struct {
	value float64
	known bool // false before the first observation
}

const (
	// factorGain is the weight of the newest observation.
	factorGain = 0.15
	// factorMin and factorMax limit what one observation counts for, and so the factor.
	factorMin = 0.1
	factorMax = 12
)

// get returns the factor, 1 before the first observation.
func (f *factor) get() float64 {
	if !f.known {
		return 1
	}
	return f.value
}

// learn adds an observation: ratio is the time taken relative to that expected of a target of factor 1, and weight
// scales factorGain. The first observation counts half against the assumed factor of 1.
func (f *factor) learn(ratio, weight float64) {
	ratio = min(factorMax, max(factorMin, ratio))
	if !f.known {
		f.value = (1 + ratio) / 2
		f.known = true
		return
	}
	f.value += factorGain * weight * (ratio - f.value)
}

// learnFirstEvent learns from the time in ms to a first event, before which so many prompt tokens were read. The time is
// given without the slowdown of the target.
func (s *timings) learnFirstEvent(f *factor, tokens ids.Tokens, took float64) {
	before := f.get()
	if s.firstEvent.n >= minObservations {
		f.learn(took/max(1, s.firstEventTime(tokens)), 1)
	}
	s.firstEvent.add(float64(tokens), took, before)
}

// learnInterval learns from the mean time in ms between the events of a stream on a target that ran so many requests. The
// time is given without the slowdown of the target.
func (s *timings) learnInterval(f *factor, running int, took float64) {
	before := f.get()
	if s.interval.n >= minObservations {
		f.learn(took/max(0.1, s.eventInterval(running)), 1)
	}
	s.interval.add(float64(running), took, before)
}

// minObservations is how many observations a fit needs before target factors are learned against it.
const minObservations = 10
