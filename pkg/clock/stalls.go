package clock

import (
	"slices"
	"sync"
)

// Stalls records when this process was stalled, that is, got no processor: what ended in that time
// seems to have taken longer than it did. A stall is detected by a timer of the caller's that fires late.
type Stalls struct {
	mu   sync.Mutex // guards the fields below
	due  Millis     // when the timer is to fire, 0 if none is set
	past []span     // oldest first
}

// span is a time during which the process was stalled: from when the timer was due until it fired.
type span struct{ from, to Millis }

const (
	// minStall is the shortest delay of the timer that counts as a stall; shorter ones are usual.
	minStall = 5 * Millisecond
	// maxStalls is how many stalls are recorded.
	maxStalls = 256
)

// ExpectTimer records when the timer is to fire.
func (s *Stalls) ExpectTimer(due Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = due
}

// TimerFired records that the timer has fired.
func (s *Stalls) TimerFired(now Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.due >= minStall {
		s.past = append(s.past, span{s.due, now})
		s.past = slices.Delete(s.past, 0, max(0, len(s.past)-maxStalls))
	}
	s.due = 0
}

// Within returns for how long the process was stalled between from and now. A stall that lasts until
// now counts too, although its timer has not fired yet.
func (s *Stalls) Within(from, now Millis) Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Millis
	if s.due > 0 && now-s.due >= minStall {
		sum = span{s.due, now}.since(from)
	}
	for i := len(s.past) - 1; i >= 0 && s.past[i].to > from; i-- {
		sum += s.past[i].since(from)
	}
	return sum
}

// since returns the length of the part of a span after from.
func (s span) since(from Millis) Millis { return max(0, s.to-max(s.from, from)) }
