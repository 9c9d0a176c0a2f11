// Package clock has the one type for lengths of time and moments: milliseconds.
package clock

import (
	"context"
	"time"
)

// Millis is a length of time or a moment, in milliseconds. Moments count from
// the Unix epoch of the machine that made them; only their difference within
// one process means anything.
type Millis int64

// Lengths of time.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
)

// Duration returns m in the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock tells the time. It is read once from the time of day and runs on the
// steady clock from then on, since the time of day of a VM may jump. Under
// testing/synctest it runs in virtual time.
type Clock struct {
	start time.Time
}

// New returns the clock of this machine.
func New() Clock {
	return Clock{start: time.Now()}
}

// Now returns the present moment.
func (c Clock) Now() Millis {
	return Millis(c.start.UnixMilli()) + Millis(time.Since(c.start).Milliseconds())
}

// Pause waits for a length of time, or returns early when ctx ends.
func Pause(ctx context.Context, wait Millis) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
