// Package resume decides how often an answer that broke off is taken up again. It does no I/O and reads no clock.
package resume

import "quaydock/pkg/clock"

// steady is for how long a connection has to hold to count as a good one, even without a byte: an answer
// that isn't streamed is silent until its end.
const steady = 500 * clock.Millisecond

// Row counts the breaks of an answer's connections that follow close upon one another. A connection that held for some time or
// brought something ends the row: however often a long answer breaks off, it can be whole as long as its source goes on.
type BreakStreak struct {
	most   int
	breaks int
	began  clock.Millis
	taken  int64
}

// NewRow returns a row for an answer's first connection; most is how many breaks it may have.
func NewBreakStreak(most int, now clock.Millis) *BreakStreak {
	return &BreakStreak{most: most, began: now}
}

// Broke notes that the connection broke, with so many of the answer's bytes taken by now. Made is false if there was no
// connection, or the other side refused to go on: to wait for that is no sign of life. Broke returns how many breaks the row has, and
// whether to go on.
func (r *BreakStreak) Broke(now clock.Millis, taken int64, made bool) (breaks int, again bool) {
	if taken > r.taken || made && now-r.began >= steady {
		r.breaks = 0
	}
	r.taken = taken
	r.breaks++
	return r.breaks, r.breaks <= r.most
}

// Begin notes that a next connection is begun.
func (r *BreakStreak) Begin(now clock.Millis) {
	r.began = now
}
