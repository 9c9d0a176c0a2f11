// Package resume decides how often an answer that broke off is resumed. It does no I/O and reads no clock.
package resume

import "quaydock/pkg/clock"

// stableAfter is how long a connection has to hold to count as good, even without a byte: an answer that isn't
// streamed sends nothing until its end.
const stableAfter = 500 * clock.Millisecond

// BreakStreak counts consecutive breaks of an answer's connections. A connection that held for stableAfter or
// delivered bytes ends the streak: however often a long answer breaks off, it can be completed as long as its
// source makes progress.
type BreakStreak struct {
	maxBreaks int
	breaks    int          // in the present streak
	began     clock.Millis // when the latest connection began
	taken     int64        // bytes of the answer received when the latest connection broke
}

// NewBreakStreak returns a streak for an answer's first connection; maxBreaks is how many breaks in a row are
// permitted.
func NewBreakStreak(maxBreaks int, now clock.Millis) *BreakStreak {
	return &BreakStreak{maxBreaks: maxBreaks, began: now}
}

// Broke records that the connection broke, with taken bytes of the answer received so far. Made is false if there
// was no connection, or the other side refused to resume: the time spent on that does not count as a good
// connection. Broke returns the number of breaks in the streak, and whether to resume once more.
func (s *BreakStreak) Broke(now clock.Millis, taken int64, made bool) (breaks int, again bool) {
	if taken > s.taken || made && now-s.began >= stableAfter {
		s.breaks = 0
	}
	s.taken = taken
	s.breaks++
	return s.breaks, s.breaks <= s.maxBreaks
}

// Begin records that the next connection begins.
func (s *BreakStreak) Begin(now clock.Millis) {
	s.began = now
}
