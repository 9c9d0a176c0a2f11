// Package clock defines the type for durations and points in time, in milliseconds, and the clock that
// a process reads.
package clock

import (
	"context"
	"time"
)

// Millis is a duration or a point in time, in milliseconds. Points in time count
// from the Unix epoch by the clock of the VM that read them; only differences
// within one process are meaningful.
type Millis int64

// Durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
)

// Duration converts m to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock tells the time. It reads the time of day once and follows the monotonic
// clock from then on, since the time of day of a VM may jump. The monotonic clock stops while the VM
// is suspended; that time is added, so that the age of earlier state is correct. Timers, contexts and
// connection deadlines follow the monotonic clock and so end late after a suspension: what depends
// on them must be decided by this clock. Under testing/synctest it runs in virtual time.
type Clock struct {
	start     time.Time // when the clock was created, by both the time of day and the monotonic clock
	suspended suspensionMeter
}

// suspensionMeter measures for how long the VM has been suspended since the clock was created.
type suspensionMeter interface {
	// since returns that time, given the time since the clock was created by the time of day and by
	// the monotonic clock.
	since(wall, monotonic time.Duration) time.Duration
}

// New returns a clock that starts at the VM's present time of day.
func New() Clock {
	return Clock{start: time.Now(), suspended: newBootTime(readBootTime)}
}

// Now returns the present time.
func (c Clock) Now() Millis {
	now := time.Now()
	monotonic := now.Sub(c.start)
	wall := time.Duration(now.UnixNano() - c.start.UnixNano())
	return Millis(c.start.UnixMilli()) + Millis((monotonic + c.suspended.since(wall, monotonic)).Milliseconds())
}

// pollInterval is the time between two readings of the clock in PauseUntil.
const pollInterval = 100 * Millisecond

// PauseUntil waits for a point in time, or returns early when ctx ends. Unlike a timer it is not
// delayed by the length of a suspension of the VM in between.
func (c Clock) PauseUntil(ctx context.Context, moment Millis) {
	for left := moment - c.Now(); left > 0 && ctx.Err() == nil; left = moment - c.Now() {
		Pause(ctx, min(left, pollInterval))
	}
}

// Pause waits for a duration, or returns early when ctx ends.
func Pause(ctx context.Context, wait Millis) {
	if wait <= 0 {
		return
	}
	Await(ctx, wait, nil)
}

// Await waits until it can receive from a channel, for a duration at most, or returns early when ctx ends.
func Await(ctx context.Context, atMost Millis, from <-chan struct{}) {
	timer := NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-from:
	case <-timer.C:
	case <-ctx.Done():
	}
}
