// Package clock is the project's own time type: whole milliseconds, as used in
// decisions, messages and settings.
package clock

import (
	"context"
	"time"
)

// Millis is a count of milliseconds: a length of time, or a moment counted
// from the Unix epoch.
type Millis int64

// Common lengths of time.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
)

// Duration converts m for calls into the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock reads the time. It is a value to be handed in, so that no package
// keeps a clock of its own. Tests run it in virtual time by testing/synctest.
type Clock struct{}

// New returns the clock of this process.
func New() Clock {
	return Clock{}
}

// Now returns the milliseconds since the Unix epoch.
func (Clock) Now() Millis {
	return Millis(time.Now().UnixMilli())
}

// Pause waits, or returns early when ctx ends.
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
