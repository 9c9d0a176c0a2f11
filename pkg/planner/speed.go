package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// line is a straight line through observations, the newest counting most.
type line struct {
	n, x, y, xx, xy float64
}

// lineKeep is what each further observation leaves of the earlier ones: about
// the last two hundred count.
const lineKeep = 0.995

func (l *line) add(x, y float64) {
	l.n = l.n*lineKeep + 1
	l.x = l.x*lineKeep + x
	l.y = l.y*lineKeep + y
	l.xx = l.xx*lineKeep + x*x
	l.xy = l.xy*lineKeep + x*y
}

// fit returns the line's value at 0 and its slope, neither below zero.
func (l *line) fit() (base, slope float64) {
	if l.n < 1 {
		return 0, 0
	}
	spread := l.xx - l.x*l.x/l.n
	if spread > 1e-9 {
		slope = max(0, (l.xy-l.x*l.y/l.n)/spread)
	}
	base = (l.y - slope*l.x) / l.n
	if base < 0 {
		return 0, l.y / max(l.x, 1)
	}
	return base, slope
}

// speeds are what has been learned of the targets of a group: how long the
// first event takes by the tokens to be read before it, and each further event
// by how many requests run. Both hold for a target of factor 1.
type speeds struct {
	first line
	pause line
	hold  hold
}

// hold is the longest that prompts being read hold up one event of a stream.
// Engines read a prompt in pieces between the tokens of the streams beside it, so
// that a long prompt holds up each event by so many pieces and no more.
type hold struct{ most float64 }

const (
	// holdGuess is reckoned with, in ms, before anything is known. It is low, since
	// what is too high would keep from being placed what shows that it is.
	holdGuess = 100.0
	// holdGain is the weight of an observation that is longer than known, and
	// holdEase that of a shorter one: reading that ended early tells less.
	holdGain = 0.05
	holdEase = 0.0125
	// holdOdd is how much longer than known an observation counts at the most:
	// what is longer comes of other causes.
	holdOdd = 2.0
	// holdSure is how much longer than known the reading must have taken for an
	// observation to tell the most.
	holdSure = 1.2
)

func (h *hold) get() float64 {
	if h.most == 0 {
		return holdGuess
	}
	return h.most
}

// holdTime is the longest pause of a stream while so many tokens of prompts are
// read beside it.
func (s *speeds) holdTime(running int, tokens ids.Tokens) float64 {
	return s.pauseTime(running) + min(s.hold.get(), s.readTime(tokens))
}

// learnHold takes the longest pause of a stream, on a target of a factor, during
// which so many tokens of prompts were to be read at once.
func (s *speeds) learnHold(f float64, backlog ids.Tokens, running int, longest clock.Millis) {
	known := s.hold.get()
	if s.first.n < minKnown || s.readTime(backlog) < holdSure*known {
		return
	}
	took := float64(longest)/f - s.pauseTime(running)
	gain := holdGain
	if took < known {
		gain = holdEase
	}
	s.hold.most = known + gain*(min(max(took, 0), holdOdd*known)-known)
}

// Estimates before anything is known.
const (
	firstGuess = 50.0 // ms
	pauseGuess = 25.0 // ms an event
)

func (s *speeds) firstTime(tokens ids.Tokens) float64 {
	base, slope := s.first.fit()
	if s.first.n < 1 {
		return firstGuess
	}
	return base + slope*float64(tokens)
}

// readTime is the part of the first event's time that grows with the prompt.
func (s *speeds) readTime(tokens ids.Tokens) float64 {
	_, slope := s.first.fit()
	return slope * float64(tokens)
}

func (s *speeds) pauseTime(running int) float64 {
	if s.pause.n < 1 {
		return pauseGuess
	}
	base, slope := s.pause.fit()
	return base + slope*float64(running)
}

// factor is how much slower than the others a target is, as a moving average.
type factor struct {
	value float64
	known bool
}

const (
	// factorGain is the weight of the newest observation.
	factorGain = 0.15
	factorMin  = 0.1
	factorMax  = 12
)

func (f *factor) get() float64 {
	if !f.known {
		return 1
	}
	return f.value
}

func (f *factor) learn(ratio, weight float64) {
	ratio = min(factorMax, max(factorMin, ratio))
	if !f.known {
		f.value = (1 + ratio) / 2
		f.known = true
		return
	}
	f.value += factorGain * weight * (ratio - f.value)
}

// learnFirst takes the time to a first event.
func (s *speeds) learnFirst(f *factor, tokens ids.Tokens, took clock.Millis) {
	if s.first.n >= minKnown {
		f.learn(float64(took)/max(1, s.firstTime(tokens)), 1)
	}
	s.first.add(float64(tokens), float64(took)/f.get())
}

// learnPause takes the mean time between the events of a stream.
func (s *speeds) learnPause(f *factor, running int, took float64) {
	if s.pause.n >= minKnown {
		f.learn(took/max(0.1, s.pauseTime(running)), 1)
	}
	s.pause.add(float64(running), took/f.get())
}

// minKnown is how many observations a line needs before factors are learned
// against it.
const minKnown = 10
